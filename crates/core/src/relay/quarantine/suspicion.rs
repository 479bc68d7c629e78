//! What is known against a content or a part of prompts.

use std::time::Duration;

use crate::relay::{
    model::EndpointId,
    quarantine::common::{CrashTimes, Moments},
};

/// The total weight of crashes that quarantines a content: three endpoints that crashed
/// early in its run. Any other request at the endpoint takes part in one crash, and with
/// 18 engines that crash every four seconds, 37 of 146 interrupted requests were
/// interrupted twice, in four teams, although as far as is known one team's request was
/// the cause.
const CRASH_THRESHOLD: u32 = 3 * EARLY_WEIGHT;
/// The same for a part of prompts that no endpoint has answered lately: four endpoints that
/// crashed as they began to answer it.
const PART_THRESHOLD: u32 = 4 * EARLY_WEIGHT;
/// The same for a part that was answered lately, before the crashes or between them. Sound
/// requests may share it with those that crash endpoints, and are answered sooner or later.
const KNOWN_PART_THRESHOLD: u32 = 6 * EARLY_WEIGHT;
/// How long ago an answer still shows that a content or part was sound.
const HISTORY: Duration = Duration::from_secs(120);
/// The number of endpoints that have to crash at one moment for the crashes to count as one
/// against content that was answered lately: as many as would quarantine it.
const COMMON_CRASHES: usize = 3;
/// The same for a part of prompts: one less than would quarantine it.
const COMMON_PART_CRASHES: usize = 5;
/// The weight of a crash early in a run.
pub(super) const EARLY_WEIGHT: u32 = 2;
/// The weight of a crash late in a run. Content that crashes endpoints as it begins has
/// done so earlier; content that does so later takes twice as many crashes to detect.
pub(super) const LATE_WEIGHT: u32 = 1;

/// What is known against a content or part.
#[derive(Debug, Default)]
pub(super) struct Suspicion {
    pub(super) crashes: Vec<SeenCrash>,
    pub(super) is_part: bool,
    /// Whether it was answered lately, before the crashes or between them.
    pub(super) is_known: bool,
    /// Whether it was stated that crashes count as one.
    pub(super) is_combined: bool,
}

impl Suspicion {
    /// The weight of crashes that quarantines it.
    fn threshold(&self) -> u32 {
        match (self.is_part, self.is_known) {
            (false, _) => CRASH_THRESHOLD,
            (true, false) => PART_THRESHOLD,
            (true, true) => KNOWN_PART_THRESHOLD,
        }
    }

    fn weight(&self) -> u32 {
        self.crashes.iter().map(|seen| seen.weight).sum()
    }

    /// Whether the crashes are enough to quarantine it. Against what was answered lately, those
    /// of one moment count as one.
    pub(super) fn is_enough(&self, times: &CrashTimes) -> bool {
        if !self.is_enough_singly() || !self.is_known {
            return self.is_enough_singly();
        }
        let min = if self.is_part { COMMON_PART_CRASHES } else { COMMON_CRASHES };
        self.combined_weight(&times.moments(min)) >= self.threshold()
    }

    /// Whether the crashes would be enough if each of them counted.
    pub(super) fn is_enough_singly(&self) -> bool {
        self.weight() >= self.threshold()
    }

    fn combined_weight(&self, moments: &Moments) -> u32 {
        let mut crashes: Vec<_> = self.crashes.iter().collect();
        crashes.sort_unstable_by_key(|seen| seen.at);
        let (mut weight, mut rest) = (0, &crashes[..]);
        while let [first, ..] = rest {
            let end = moments.end(first.at);
            let count = end.map_or(1, |end| rest.partition_point(|seen| seen.at <= end));
            let (common, later) = rest.split_at(count);
            weight += common.iter().map(|seen| seen.weight).max().unwrap_or_default();
            rest = later;
        }
        weight
    }

    /// The time since which an answer matters.
    pub(super) fn since(&self, now: Duration) -> Duration {
        let first = self.crashes.iter().map(|seen| seen.at).min().unwrap_or(now);
        match !self.is_known {
            true => first.min(now.saturating_sub(HISTORY)),
            false => first,
        }
    }
}

/// A crash of an endpoint that ran it.
#[derive(Debug)]
pub(super) struct SeenCrash {
    pub(super) endpoint: EndpointId,
    pub(super) at: Duration,
    pub(super) weight: u32,
}
