//! Building a document from a text.

use super::{MAX_DEPTH, SourceMember, SourceNode, SourceValue, SpannedFault};
use crate::{
    fault::MemberFault,
    path::{MemberPath, PathStep},
    source::SourceText,
};
use jsonc_parser::{
    CollectOptions, ParseOptions, Scanner, ast, common::Ranged, errors::ParseError, parse_to_ast,
    tokens::Token,
};
use serde_json::{Number, Value};
use std::{collections::BTreeSet, ops::Range};

impl SourceNode {
    /// Parses a text.
    ///
    /// # Errors
    ///
    /// The one place at which the syntax breaks.
    pub fn parse(source: &SourceText) -> Result<(Self, Vec<SpannedFault>), SpannedFault> {
        check_depth(source.text())?;
        let options = ParseOptions {
            allow_comments: true,
            allow_loose_object_property_names: false,
            allow_trailing_commas: true,
        };
        let parsed = parse_to_ast(source.text(), &CollectOptions::default(), &options)
            .map_err(|error| syntax_fault(&error))?;
        let end = source.text().len();
        let value = parsed.value.ok_or_else(|| empty_fault(end))?;
        let mut faults = Vec::new();
        let node = Self::from_ast(&value, &MemberPath::default(), &mut faults);
        Ok((node, faults))
    }

    fn from_ast(value: &ast::Value<'_>, path: &MemberPath, faults: &mut Vec<SpannedFault>) -> Self {
        let span = value.start()..value.end();
        let value = match value {
            ast::Value::NullKeyword(_) => SourceValue::Scalar(Value::Null),
            ast::Value::BooleanLit(lit) => SourceValue::Scalar(Value::Bool(lit.value)),
            ast::Value::StringLit(lit) => {
                SourceValue::Scalar(Value::String(lit.value.clone().into_owned()))
            }
            ast::Value::NumberLit(lit) => {
                let number = read_number(lit.value, path, &span, faults);
                SourceValue::Scalar(number)
            }
            ast::Value::Array(array) => {
                let elements = array.elements.iter().enumerate();
                let elements = elements.map(|(index, element)| {
                    Self::from_ast(element, &path.join(PathStep::Index(index)), faults)
                });
                SourceValue::Array(elements.collect())
            }
            ast::Value::Object(object) => SourceValue::Object(read_members(object, path, faults)),
        };
        Self {
            span,
            value,
            skipped: false,
        }
    }
}

fn read_members(
    object: &ast::Object<'_>,
    path: &MemberPath,
    faults: &mut Vec<SpannedFault>,
) -> Vec<SourceMember> {
    let mut seen = BTreeSet::new();
    let mut members = Vec::with_capacity(object.properties.len());
    for property in &object.properties {
        let name = property.name.as_str().to_owned();
        let name_span = property.name.start()..property.name.end();
        let path = path.join(PathStep::Member(name.clone()));
        // Parsers differ on which of two equal members counts, so an operator may believe in
        // the one that has no effect.
        if !seen.insert(name.clone()) {
            let fault = MemberFault {
                path: path.to_string(),
                message: "the member is given twice".to_owned(),
                allowed: "each member once".to_owned(),
                remedy: "delete one of the two".to_owned(),
            };
            faults.push(SpannedFault {
                span: name_span,
                fault,
            });
            continue;
        }
        let node = SourceNode::from_ast(&property.value, &path, faults);
        members.push(SourceMember {
            name,
            name_span,
            node,
        });
    }
    members
}

fn read_number(
    text: &str,
    path: &MemberPath,
    span: &Range<usize>,
    faults: &mut Vec<SpannedFault>,
) -> Value {
    match text.parse::<Number>() {
        Ok(number) => Value::Number(number),
        Err(_) => {
            let fault = MemberFault {
                path: path.to_string(),
                message: format!("`{text}` is no number that JSON knows"),
                allowed: "decimal numbers".to_owned(),
                remedy: "write the number in decimal digits".to_owned(),
            };
            faults.push(SpannedFault {
                span: span.clone(),
                fault,
            });
            Value::Null
        }
    }
}

fn check_depth(text: &str) -> Result<(), SpannedFault> {
    let mut scanner = Scanner::new(text);
    let mut depth = 0_usize;
    loop {
        let token = scanner.scan().map_err(|error| syntax_fault(&error))?;
        match token {
            None => return Ok(()),
            Some(Token::OpenBrace | Token::OpenBracket) => depth += 1,
            Some(Token::CloseBrace | Token::CloseBracket) => depth = depth.saturating_sub(1),
            Some(_) => {}
        }
        if depth > MAX_DEPTH {
            let fault = MemberFault {
                path: String::new(),
                message: format!("brackets are nested more than {MAX_DEPTH} deep"),
                allowed: format!("{MAX_DEPTH} levels"),
                remedy: "remove the superfluous brackets".to_owned(),
            };
            let span = scanner.token_start()..scanner.token_end();
            return Err(SpannedFault { span, fault });
        }
    }
}

fn syntax_fault(error: &ParseError) -> SpannedFault {
    let range = error.range();
    let fault = MemberFault {
        path: String::new(),
        message: format!("not JSON with comments: {}", error.kind()),
        allowed: String::new(),
        remedy: "correct the syntax here or just before".to_owned(),
    };
    SpannedFault {
        span: range.start..range.end,
        fault,
    }
}

fn empty_fault(end: usize) -> SpannedFault {
    let fault = MemberFault {
        path: String::new(),
        message: "the file holds no value".to_owned(),
        allowed: "one object, or for resources an array of them".to_owned(),
        remedy: "write the settings or resources; examples/ has both".to_owned(),
    };
    SpannedFault {
        span: 0..end.min(1),
        fault,
    }
}
