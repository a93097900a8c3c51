//! Range of the setting.

use crate::settings::FrontSettings;
use savorywood_settings::SourceText;

fn parse(overload: &str) -> Result<FrontSettings, String> {
    let text = format!(
        r#"{{"host": "h", "zone": "z", "store": {{"address": "127.0.0.1:1"}},
            "listen": {{"callers": "127.0.0.1:2", "peers": "127.0.0.1:3"}},
            "overload": {overload}}}"#
    );
    let source = SourceText::new("settings.json", &text);
    FrontSettings::parse(&source).map_err(|report| report.to_string())
}

/// Guards against a budget of nothing, which would refuse every request, or of all memory, which would
/// let the process be killed.
#[test]
fn share_out_of_range_is_an_error_that_names_the_field() {
    for share in ["0", "-0.1", "0.91", "1", "1e9"] {
        let error = parse(&format!(r#"{{"held_memory_share": {share}}}"#)).expect_err(share);
        assert!(error.contains("`overload.held_memory_share`"), "{error}");
        assert!(error.contains("above 0, at most 0.9"), "{error}");
    }
    for share in ["0.01", "0.5", "0.9"] {
        let settings = parse(&format!(r#"{{"held_memory_share": {share}}}"#));
        assert!(settings.is_ok(), "{share}");
    }
    let settings = parse("{}").expect("the default is valid");
    assert!((settings.overload.held_memory_share - 0.5).abs() < f64::EPSILON);
}
