//! Traffic shaped like a deployment: who calls, how often, how long, and what came of it.

mod address_book;
mod audit;
mod deployment;
mod ledger;
mod run;

pub use address_book::AddressBook;
pub use audit::RunAudit;
pub use deployment::DeploymentMix;
pub use ledger::TrafficLedger;
pub use run::TrafficRun;
