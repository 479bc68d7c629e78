//! Computes whether each team received its share.
//!
//! A team is entitled to the smaller of its own requests and its weighted share
//! of all requests that were answered in time. Its ratio is the number of its
//! requests answered in time to that entitlement. Teams may use the unused
//! shares of others, so ratios above 1 are common.

use std::{collections::BTreeMap, sync::Arc};

use peatdeck_core::document::Document;

use crate::report::Share;

/// The weights of the teams in a configuration.
pub fn weights(document: &Document) -> BTreeMap<Arc<str>, u32> {
    document.teams.iter().map(|team| (team.name.clone(), team.weight)).collect()
}

/// The ratio of each team's requests answered in time to its entitlement.
/// Teams without a weight or an entitlement are left out.
pub fn entitlement_ratios(
    weights: &BTreeMap<Arc<str>, u32>,
    teams: &BTreeMap<Arc<str>, Share>,
) -> BTreeMap<Arc<str>, f64> {
    let total: u32 = weights.values().sum();
    let answered: u64 = teams.values().map(|share| share.in_time).sum();
    let mut ratios = BTreeMap::new();
    for (team, share) in teams {
        let Some(weight) = weights.get(team) else { continue };
        let weighted_share = answered as f64 * f64::from(*weight) / f64::from(total);
        let entitled = weighted_share.min(share.planned as f64);
        if entitled > 0.0 {
            ratios.insert(team.clone(), share.in_time as f64 / entitled);
        }
    }
    ratios
}
