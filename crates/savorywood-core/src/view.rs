//! Read-only views through which duties read one another's state.

pub mod config_view;
pub mod member_view;
pub mod version_split;

pub use config_view::ConfigView;
pub use member_view::{MemberRecord, MemberView};
pub use version_split::VersionSplit;
