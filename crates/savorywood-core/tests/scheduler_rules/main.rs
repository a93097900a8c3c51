//! Rules that the scheduler keeps under load and faults.

mod fixture;
mod limits;
mod order;
mod records;
mod repeat;
