//! Registration of daemons in the store's list by this one, if it is a seed.

use super::Gateway;
use crate::{
    gossip::PeerContact,
    registration::{MemberRegistration, RegistrationQueue},
};
use savorywood_protocol::MonotonicTime;

impl Gateway {
    /// Records the daemons that the settings name as seeds. If this is one of them and all daemons
    /// start for the first time, it registers itself and those that it hears from.
    pub(super) fn seeds_read(&mut self, now: MonotonicTime, seeds: Vec<PeerContact>) {
        let own = self.options.peer_address;
        if self.options.first_start && seeds.iter().any(|seed| seed.address == own) {
            let mut registrations = RegistrationQueue::default();
            registrations.push(MemberRegistration {
                host: self.options.host.as_str().to_owned(),
                peer_address: own,
                zone: self.options.zone.clone(),
                processor_millis: self.options.capacity.processor_millis,
            });
            self.registrations = Some(registrations);
        }
        self.record_contacts(now, seeds);
    }

    /// Returns whether this daemon registers others.
    #[must_use]
    pub fn registers_others(&self) -> bool {
        self.registrations.is_some()
    }

    /// Returns up to `count` daemons that this one is to register in the store's list.
    pub fn take_registrations(&mut self, count: usize) -> Vec<MemberRegistration> {
        let registrations = self.registrations.as_mut();
        registrations.map_or_else(Vec::new, |queue| queue.take(count))
    }

    /// Queues daemons again whose registration failed.
    pub fn retry_registrations(&mut self, members: Vec<MemberRegistration>) {
        if let Some(registrations) = &mut self.registrations {
            registrations.put_back(members);
        }
    }

    /// Ends the registration of others: daemons that start from now on register themselves.
    pub fn end_registrations(&mut self) {
        self.registrations = None;
    }
}
