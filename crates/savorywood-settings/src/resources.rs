//! Files of resources.

use crate::{
    decode,
    fault::{FaultReport, MemberFault, SettingsFault},
    node::{SourceNode, SourceValue, SpannedFault},
    path::{MemberPath, PathStep},
    source::SourceText,
};
use savorywood_protocol::{
    name,
    resource::{
        ResourceDocument, ResourceKind, ResourceSpec, ResourceStatus, ServiceSpec, TeamSpec,
        TierSpec, TrafficMoveSpec, UpstreamSpec, ValidationError, VersionSpec,
    },
};
use serde::de::DeserializeOwned;
use std::path::Path;

/// Members of a document outside its spec.
const DOCUMENT_MEMBERS: [&str; 5] = ["kind", "name", "spec", "revision", "status"];

/// Reads all resources of a file.
///
/// # Errors
///
/// All faults of the file's documents.
pub fn read_resources(path: &Path) -> Result<Vec<ResourceDocument>, FaultReport> {
    ResourceFile::read(path).map(|file| file.documents)
}

/// The resources of a file, and where each stands in it.
#[derive(Debug, Clone)]
pub struct ResourceFile {
    /// The resources in the order of the file.
    pub documents: Vec<ResourceDocument>,
    source: SourceText,
    nodes: Vec<SourceNode>,
}

impl ResourceFile {
    /// Reads a file.
    ///
    /// # Errors
    ///
    /// All faults of the file's documents.
    pub fn read(path: &Path) -> Result<Self, FaultReport> {
        Self::parse(SourceText::read(path)?)
    }

    /// Reads a text.
    ///
    /// # Errors
    ///
    /// All faults of the text's documents.
    pub fn parse(source: SourceText) -> Result<Self, FaultReport> {
        let parsed = SourceNode::parse(&source);
        let (node, mut faults) = match parsed {
            Ok(parsed) => parsed,
            Err(fault) => return Err(FaultReport::locate(&source, vec![fault])),
        };
        let (nodes, in_array) = match node.value {
            SourceValue::Array(elements) => (elements, true),
            SourceValue::Scalar(_) | SourceValue::Object(_) => (vec![node], false),
        };
        let mut documents = Vec::with_capacity(nodes.len());
        for (index, node) in nodes.iter().enumerate() {
            let prefix = if in_array {
                MemberPath::default().join(PathStep::Index(index))
            } else {
                MemberPath::default()
            };
            match read_document(node, &prefix) {
                Ok(document) => documents.push(document),
                Err(found) => faults.extend(found),
            }
        }
        if faults.is_empty() {
            return Ok(Self {
                documents,
                source,
                nodes,
            });
        }
        Err(FaultReport::locate(&source, faults))
    }

    /// Shows a fault of the document with this index at its place in the file.
    #[must_use]
    pub fn locate(&self, index: usize, fault: &ValidationError) -> SettingsFault {
        let path = MemberPath::parse(&fault.path);
        let span = self.nodes.get(index).map(|node| {
            let found = node.find(&path, false);
            let whole = found.name_span.is_none() && found.path.steps().is_empty();
            if whole {
                found.span.start..found.span.start + 1
            } else {
                found.span
            }
        });
        let name = self.documents.get(index).map(|d| d.key().to_string());
        let fault = MemberFault {
            path: fault.path.clone(),
            message: format!("{}: {}", name.unwrap_or_default(), fault.message),
            allowed: String::new(),
            remedy: fault.remedy.clone(),
        };
        SettingsFault::at(&self.source, &span.unwrap_or(0..0), fault)
    }
}

/// Reads one document. The spec is read by its kind rather than through the tagged enum, which
/// buffers its content and so loses the path to a fault within it.
fn read_document(
    node: &SourceNode,
    prefix: &MemberPath,
) -> Result<ResourceDocument, Vec<SpannedFault>> {
    if !matches!(node.value, SourceValue::Object(_)) {
        let fault = MemberFault {
            path: prefix.to_string(),
            message: "a resource is an object".to_owned(),
            allowed: DOCUMENT_MEMBERS.join(", "),
            remedy: "write {\"kind\": ..., \"name\": ..., \"spec\": {...}}".to_owned(),
        };
        let span = node.span.clone();
        return Err(vec![SpannedFault { span, fault }]);
    }
    let mut faults = unknown_members(node, prefix);
    let kind = read_member::<ResourceKind>(node, "kind", prefix, &mut faults);
    let name = read_member::<String>(node, "name", prefix, &mut faults);
    check_name(node, name.as_deref(), prefix, &mut faults);
    let revision = read_optional(node, "revision", prefix, &mut faults);
    let status = read_optional::<ResourceStatus>(node, "status", prefix, &mut faults);
    let spec = match (node.member("spec"), kind) {
        (Some(spec), Some(kind)) => read_spec(spec, kind, prefix, &mut faults),
        (Some(_), None) => None,
        (None, _) => {
            faults.push(missing(node, "spec", prefix));
            None
        }
    };
    match (name, spec) {
        (Some(name), Some(spec)) if faults.is_empty() => Ok(ResourceDocument {
            name,
            spec,
            revision,
            status,
        }),
        _ => Err(faults),
    }
}

fn unknown_members(node: &SourceNode, prefix: &MemberPath) -> Vec<SpannedFault> {
    let members = node.members();
    let unknown = members.filter(|member| !DOCUMENT_MEMBERS.contains(&member.name.as_str()));
    let faults = unknown.map(|member| {
        let path = prefix.join(PathStep::Member(member.name.clone()));
        SpannedFault {
            span: member.name_span.clone(),
            fault: decode::unknown_member(&path, &DOCUMENT_MEMBERS),
        }
    });
    faults.collect()
}

fn read_spec(
    node: &SourceNode,
    kind: ResourceKind,
    prefix: &MemberPath,
    faults: &mut Vec<SpannedFault>,
) -> Option<ResourceSpec> {
    let path = prefix.join(PathStep::Member("spec".to_owned()));
    let absent = required_members(kind)
        .iter()
        .filter(|name| node.member(name).is_none());
    let absent: Vec<_> = absent.map(|name| missing(node, name, &path)).collect();
    let spec = match kind {
        ResourceKind::Service => {
            decode::decode::<ServiceSpec>(node, &path).map(ResourceSpec::Service)
        }
        ResourceKind::Tier => decode::decode::<TierSpec>(node, &path).map(ResourceSpec::Tier),
        ResourceKind::Team => decode::decode::<TeamSpec>(node, &path).map(ResourceSpec::Team),
        ResourceKind::Upstream => {
            decode::decode::<UpstreamSpec>(node, &path).map(ResourceSpec::Upstream)
        }
        ResourceKind::Version => {
            decode::decode::<VersionSpec>(node, &path).map(ResourceSpec::Version)
        }
        ResourceKind::Move => {
            decode::decode::<TrafficMoveSpec>(node, &path).map(ResourceSpec::Move)
        }
    };
    match spec {
        Ok(spec) => Some(spec),
        Err(found) => {
            // Serde names one absent member of an object, the list names all of them.
            let listed = |fault: &SpannedFault| absent.iter().any(|a| a.fault == fault.fault);
            faults.extend(found.into_iter().filter(|fault| !listed(fault)));
            faults.extend(absent);
            None
        }
    }
}

/// Members that a spec can't do without.
#[must_use]
pub fn required_members(kind: ResourceKind) -> &'static [&'static str] {
    match kind {
        ResourceKind::Service => &["protocol"],
        ResourceKind::Tier => &["rank"],
        ResourceKind::Team => &["token_sha256", "tiers"],
        ResourceKind::Upstream => &["address", "service", "version", "zone"],
        ResourceKind::Version => &["service"],
        ResourceKind::Move => &["service", "from", "to", "finish_by"],
    }
}

fn read_member<T: DeserializeOwned>(
    node: &SourceNode,
    name: &str,
    prefix: &MemberPath,
    faults: &mut Vec<SpannedFault>,
) -> Option<T> {
    if node.member(name).is_none() {
        faults.push(missing(node, name, prefix));
        return None;
    }
    read_optional(node, name, prefix, faults)
}

fn read_optional<T: DeserializeOwned>(
    node: &SourceNode,
    name: &str,
    prefix: &MemberPath,
    faults: &mut Vec<SpannedFault>,
) -> Option<T> {
    let path = prefix.join(PathStep::Member(name.to_owned()));
    match decode::decode(node.member(name)?, &path) {
        Ok(value) => Some(value),
        Err(found) => {
            faults.extend(found);
            None
        }
    }
}

fn check_name(
    node: &SourceNode,
    text: Option<&str>,
    prefix: &MemberPath,
    faults: &mut Vec<SpannedFault>,
) {
    let (Some(node), Some(text)) = (node.member("name"), text) else {
        return;
    };
    let Err(error) = name::check_name(text) else {
        return;
    };
    let path = prefix.join(PathStep::Member("name".to_owned()));
    let fault = MemberFault {
        path: path.to_string(),
        message: error.to_string(),
        allowed: format!(
            "1 to {} of a-z, 0-9, '-', '_' and '.'",
            name::MAX_NAME_BYTES
        ),
        remedy: "rename the resource".to_owned(),
    };
    let span = node.span.clone();
    faults.push(SpannedFault { span, fault });
}

fn missing(node: &SourceNode, name: &str, prefix: &MemberPath) -> SpannedFault {
    let path = prefix.join(PathStep::Member(name.to_owned()));
    let start = node.span.start;
    SpannedFault {
        span: start..start + 1,
        fault: decode::missing_member(&path),
    }
}
