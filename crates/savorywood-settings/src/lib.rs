//! Daemon settings and resource files, read from JSON with comments.
//!
//! Reading is strict: unknown members, repeated members and values out of range are faults. All
//! faults of a file are reported together, each with its position, the allowed values and a
//! remedy.

pub mod builder;
pub mod daemon;
pub mod decode;
pub mod fault;
pub mod kind;
pub mod node;
pub mod path;
pub mod raw;
pub mod resources;
pub mod secret;
pub mod source;

pub use builder::SettingsBuilder;
pub use daemon::{
    BudgetSettings, DaemonSettings, KeySettings, LimitSettings, PlatformSettings, StopSettings,
};
pub use fault::{FaultReport, MemberFault, SettingsFault};
pub use kind::FileKind;
pub use path::MemberPath;
pub use resources::{ResourceFile, read_resources};
pub use secret::{SecretBytes, SecretError, SecretFile};
pub use source::{SourceExcerpt, SourcePosition, SourceText};
