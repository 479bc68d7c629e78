//! Entries of the directory that name no service of the configuration.
//!
//! Any process may write to the directory, and such an entry says nothing of the endpoint under
//! whose name it stands: it is not used until its own next entry. But the service may also be
//! configured later, or the directory be read first at the start. The newest entry of each name is
//! therefore kept, and applied once the configuration names its service.

use std::{mem, time::Duration};

use crate::relay::{
    directory::{Change, Entry},
    machine::Relay,
};

impl Relay {
    /// Keeps an entry that names no service of the configuration, and treats it as unreadable.
    /// Any other change of the same name takes the place of a kept entry.
    pub(super) fn keep_unassigned(&mut self, change: Change) -> Change {
        match change {
            Change::Put(entry) if !self.is_assigned(&entry) => {
                let name = entry.name.clone();
                self.unassigned.insert(name.clone(), entry);
                Change::Unreadable(name)
            }
            Change::Put(Entry { ref name, .. })
            | Change::Removed(ref name)
            | Change::Unreadable(ref name) => {
                self.unassigned.remove(name);
                change
            }
        }
    }

    /// Applies the kept entries whose service a new configuration names.
    pub(super) fn assign_entries(&mut self, now: Duration) {
        for entry in mem::take(&mut self.unassigned).into_values() {
            // An entry that still names no service is kept again.
            self.apply_change(now, Change::Put(entry));
        }
    }

    /// Whether an entry's service is in the configuration, or is that of its endpoint.
    fn is_assigned(&self, entry: &Entry) -> bool {
        let is_configured =
            self.config.as_ref().is_some_and(|it| it.services.contains_key(&entry.service));
        is_configured || self.directory.service_of(&entry.name) == Some(&entry.service)
    }
}
