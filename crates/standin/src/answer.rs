//! Outputs of endpoints, derived from the call alone.
//!
//! Any two calls that differ in stage, request or input differ in their
//! output. A test or a load run can therefore compute the one correct output of
//! a pipeline with [`expected_output`] and compare.

use peatdeck_core::{
    document::{Document, Pipeline, PoolKind, Stage},
    model::RequestId,
};
use xxhash_rust::xxh3;

/// Maximum number of tokens that an engine generates when a call sets no limit.
pub const DEFAULT_TOKENS: u32 = 16;

/// The output of a service for one call.
pub fn service_output(stage: &str, request: &RequestId, input: &str) -> String {
    let digest = digest(stage, request, input);
    format!("{stage}:{}/{}:{digest:016x}", request.team, request.id)
}

/// The tokens of an engine for one call, in order; their concatenation is the
/// output. Their number is between half of `max` and `max`, and at least one.
pub fn tokens(stage: &str, request: &RequestId, input: &str, max: Option<u32>) -> Vec<String> {
    let digest = digest(stage, request, input);
    let count = token_count(digest, max.unwrap_or(DEFAULT_TOKENS));
    let first = format!("{stage}:{}/{}:{digest:016x}", request.team, request.id);
    let rest = (1..count).map(|idx| token(digest, idx));
    std::iter::once(first).chain(rest).collect()
}

/// The output of a whole pipeline: each stage's output is the next one's
/// input. `None` if a stage names a pool that the document does not have.
pub fn expected_output(
    document: &Document,
    pipeline: &Pipeline,
    request: &RequestId,
    input: &str,
) -> Option<String> {
    let mut text = input.to_owned();
    for stage in &pipeline.stages {
        let kind = document.pool(&stage.pool)?.kind;
        text = stage_output(kind, stage, request, &text);
    }
    Some(text)
}

/// The output of one stage, whichever kind of endpoint runs it.
pub fn stage_output(kind: PoolKind, stage: &Stage, request: &RequestId, input: &str) -> String {
    match kind {
        PoolKind::Service => service_output(&stage.name, request, input),
        PoolKind::Engine => tokens(&stage.name, request, input, stage.max_tokens).concat(),
    }
}

/// Digest of an input, as stored in call records.
pub fn input_hash(input: &str) -> u64 {
    xxh3::xxh3_64(input.as_bytes())
}

fn digest(stage: &str, request: &RequestId, input: &str) -> u64 {
    let mut hasher = xxh3::Xxh3::new();
    for part in [stage, &request.team, &request.id, input] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part.as_bytes());
    }
    hasher.digest()
}

fn token_count(digest: u64, max: u32) -> u32 {
    let max = max.max(1);
    let least = max.div_ceil(2);
    let range = u64::from(max - least + 1);
    let extra = u32::try_from(digest % range).unwrap_or(0);
    least + extra
}

fn token(digest: u64, idx: u32) -> String {
    let word = xxh3::xxh3_64_with_seed(&digest.to_le_bytes(), u64::from(idx));
    format!(" {:04x}", word & 0xffff)
}
