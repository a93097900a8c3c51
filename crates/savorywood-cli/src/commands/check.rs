//! `savorywood check`: all faults of settings and resource files.

use crate::error::CommandError;
use bpaf::Bpaf;
use savorywood_protocol::{
    WallTime,
    resource::{ResourceSet, ValidationError, validate},
};
use savorywood_settings::{
    DaemonSettings, FaultReport, FileKind, ResourceFile, SettingsFault, SourceText,
    node::SourceNode,
};
use std::{
    collections::BTreeMap,
    path::{Path, PathBuf},
    time::SystemTime,
};

/// Options of `check`.
#[derive(Debug, Clone, Bpaf)]
pub struct CheckOptions {
    /// Don't check what resources say of each other
    pub shape_only: bool,
    /// Settings or resource files
    #[bpaf(
        positional("FILE"),
        complete_shell(bpaf::ShellComp::File { mask: Some("*.json*") }),
        some("name at least one file")
    )]
    pub files: Vec<PathBuf>,
}

/// What a sound file holds.
enum CheckedFile {
    Settings(Box<DaemonSettings>),
    Resources(ResourceFile),
}

/// Checks files.
///
/// # Errors
///
/// All faults of all files.
pub fn run(options: &CheckOptions) -> Result<(), CommandError> {
    let mut faults = Vec::new();
    let mut sound = String::new();
    let mut resources = Vec::new();
    for path in &options.files {
        let name = path.display();
        match check_file(path) {
            Ok(CheckedFile::Settings(settings)) => {
                sound.push_str(&format!("{name}: settings of host {}: ok\n", settings.host));
            }
            Ok(CheckedFile::Resources(file)) => {
                let count = file.documents.len();
                let plural = if count == 1 { "" } else { "s" };
                sound.push_str(&format!("{name}: {count} resource{plural}: ok\n"));
                resources.push(file);
            }
            Err(report) => faults.extend(report.into_faults()),
        }
    }
    // A file that can't be read leaves names unknown, and each would show as a second fault.
    if faults.is_empty() && !options.shape_only {
        let now = WallTime::from_system(SystemTime::now());
        faults = cross_faults(&resources, now);
    }
    if faults.is_empty() {
        return super::print("checking", &sound);
    }
    let report = FaultReport::new(faults);
    Err(CommandError::Faulty { report })
}

fn check_file(path: &Path) -> Result<CheckedFile, FaultReport> {
    let source = SourceText::read(path)?;
    let kind = match SourceNode::parse(&source) {
        Ok((node, _)) => FileKind::of(&node),
        // Either reader tells the same fault of the syntax.
        Err(_) => FileKind::Resources,
    };
    match kind {
        FileKind::Settings => {
            let folder = path.parent().unwrap_or(Path::new(""));
            let settings = DaemonSettings::parse(&source, folder)?;
            Ok(CheckedFile::Settings(Box::new(settings)))
        }
        FileKind::Resources => ResourceFile::parse(source).map(CheckedFile::Resources),
    }
}

/// What is wrong between the resources of all files.
#[must_use]
pub fn cross_faults(files: &[ResourceFile], now: WallTime) -> Vec<SettingsFault> {
    let mut set = ResourceSet::new();
    let mut places = BTreeMap::new();
    let mut faults = Vec::new();
    for file in files {
        for (index, document) in file.documents.iter().enumerate() {
            let place = DocumentPlace { file, index };
            if places.insert(document.key(), place).is_some() {
                let fault = ValidationError {
                    path: "name".to_owned(),
                    message: "there are two resources of this kind and name".to_owned(),
                    remedy: "rename or delete one of the two".to_owned(),
                };
                faults.push(file.locate(index, &fault));
            }
            set.insert(document.key(), document.clone());
        }
    }
    for found in validate::check_set(&set, now) {
        if let Some(place) = places.get(&found.key) {
            faults.push(place.file.locate(place.index, &found.error));
        }
    }
    faults
}

/// Where a document stands.
#[derive(Debug, Clone, Copy)]
struct DocumentPlace<'a> {
    file: &'a ResourceFile,
    index: usize,
}
