//! Whether each team got its share.
//!
//! A team is entitled to the smaller of what it asked for and its weight's
//! part of everything that was answered in time. What it got of that is 1 or
//! more where it is not under its share; unused shares are lent, so more than
//! 1 is common.

use std::{collections::BTreeMap, sync::Arc};

use peatdeck_core::document::Document;

use crate::report::Share;

/// The weights of the teams in a configuration.
pub fn weights(document: &Document) -> BTreeMap<Arc<str>, u32> {
    document.teams.iter().map(|team| (team.name.clone(), team.weight)).collect()
}

/// What each team got of what it is entitled to. Teams without a weight or
/// without requests are left out.
pub fn of_share(
    weights: &BTreeMap<Arc<str>, u32>,
    teams: &BTreeMap<Arc<str>, Share>,
) -> BTreeMap<Arc<str>, f64> {
    let total: u32 = weights.values().sum();
    let answered: u64 = teams.values().map(|share| share.in_time).sum();
    let mut got = BTreeMap::new();
    for (team, share) in teams {
        let Some(weight) = weights.get(team) else { continue };
        let part = answered as f64 * f64::from(*weight) / f64::from(total);
        let entitled = part.min(share.planned as f64);
        if entitled > 0.0 {
            got.insert(team.clone(), share.in_time as f64 / entitled);
        }
    }
    got
}
