//! The burn report: how fast services spend the errors that their targets allow.

mod report;
mod verdict;

pub use report::{BurnReport, BurnRow, ReportInput, SilentMember, WindowRate, build_report};
pub use verdict::{BurnVerdict, judge};
