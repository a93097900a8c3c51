//! The I/O layer of a front daemon: connections of callers, upstreams, store and peers, logs and
//! metrics around the decisions of `savorywood-gateway`.
//!
//! Header names, row formats and store calls of a platform are provided by an implementation of
//! [`FrontAdapter`].

mod adapter;
mod admin;
mod attempt;
mod caller;
mod clock;
mod connect;
mod content;
mod count;
mod feeds;
mod held;
mod load;
mod logging;
mod metrics;
mod peers;
mod pool;
mod reachability;
mod run;
mod settings;
mod shared;
mod sink;
mod stop;
mod store;
mod wire;

pub use adapter::{
    ArrivalError, DeclaredRow, DirectoryQuery, DispatchContext, FrontAdapter, ParsedResponseHead,
    RolloutRow, RowRange, StorePage, StoreRow, StoreTable, TableWrite,
};
pub use run::{FrontError, run};
pub use settings::{
    BoundSettings, FrontSettings, LimitSettings, ListenSettings, OverloadSettings, StoreSettings,
};
pub use wire::{
    BodyFraming, HeadError, HeaderLine, HeaderList, RequestHead, ResponseHead, StoreCall,
    is_hop_by_hop_header,
};
