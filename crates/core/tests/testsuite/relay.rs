//! The relay: exchanges with opaque content, their stages, and which failures are retried.

#![allow(clippy::unwrap_used)]

mod allowance;
mod batch;
mod calls;
mod catch_up;
mod cold;
mod common_kill;
mod config;
mod directory;
mod engine;
mod evacuation;
mod events;
mod fixture;
mod foreign;
mod forgotten;
mod fragile;
mod fuzz;
mod intake;
mod kept_names;
mod leaving;
mod limits;
mod load;
mod lost_list;
mod paths;
mod peers;
mod placing;
mod policies;
mod prompts;
mod quarantine;
mod readers;
mod reads;
mod region_failures;
mod region_fuzz;
mod region_overflow;
mod regions;
mod rests;
mod resumed;
mod rollout;
mod rollout_fuzz;
mod stages;
mod stream_versions;
mod streams;
mod table;
mod timelines;
mod version_list;
