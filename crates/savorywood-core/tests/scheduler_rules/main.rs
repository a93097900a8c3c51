//! Rules that the scheduler keeps under load and faults.

#[cfg(test)]
mod fixture;
#[cfg(test)]
mod limits;
#[cfg(test)]
mod order;
#[cfg(test)]
mod records;
#[cfg(test)]
mod repeat;
