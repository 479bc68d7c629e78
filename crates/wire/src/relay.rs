//! Table copies and pieces between instances in Cap'n Proto form.
//!
//! Points in time are encoded as the time left until them, since the clocks of two
//! instances differ. Encoder and decoder pass their own current time.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use peatdeck_core::{
    model::{Incarnation, InstanceName, Load},
    relay::{
        fingerprint::Fingerprint,
        model::{
            EndpointId, Failure, Handle, Part, Piece, PieceFailure, PieceResult, Placement,
            PlacementRequest, Progress, Prompt, Step,
        },
        position::{Position, Timeline},
        quarantine::Crash,
        table::{PartialRecord, Portion, PortionRequest, Record, Slice},
        terms::{Notice, Rate},
    },
};

use crate::{peer::Error, relay_capnp};

/// Encodes a request for a portion of a table.
pub fn write_portion_request(request: &PortionRequest, mut to: relay_capnp::ask::Builder<'_>) {
    to.set_timeline(request.timeline.0);
    to.set_from(request.from);
    to.set_is_listing(request.listing.is_some());
    to.set_base(request.listing.unwrap_or_default());
    if let Some(partial) = request.partial {
        to.set_is_begun(true);
        to.set_begun_offset(partial.offset);
        to.set_begun_len(partial.len);
    }
}

/// Decodes a request for a portion of a table.
pub fn read_portion_request(from: relay_capnp::ask::Reader<'_>) -> PortionRequest {
    let partial = PartialRecord { offset: from.get_begun_offset(), len: from.get_begun_len() };
    PortionRequest {
        timeline: Timeline(from.get_timeline()),
        from: from.get_from(),
        listing: from.get_is_listing().then_some(from.get_base()),
        partial: from.get_is_begun().then_some(partial),
    }
}

/// Encodes a portion of a table.
pub fn write_portion(portion: &Portion, mut to: relay_capnp::portion::Builder<'_>) {
    to.set_timeline(portion.timeline.0);
    to.set_base(portion.base);
    to.set_from(portion.from);
    to.set_end(portion.end);
    to.set_is_listing(portion.is_listing);
    to.set_has_more(portion.has_more);
    if let Some(slice) = &portion.slice {
        write_slice(slice, to.reborrow().init_slice());
    }
    let mut list = to.init_records(len(&portion.records));
    for (idx, record) in (0..).zip(&portion.records) {
        let mut to = list.reborrow().get(idx);
        to.set_key(&*record.key);
        to.set_offset(record.offset);
        to.set_is_removed(record.value.is_none());
        to.set_value(record.value.as_deref().unwrap_or_default());
    }
}

/// Decodes a portion of a table.
///
/// # Errors
/// Any [`Error`]; no part of a malformed message is used.
pub fn read_portion(from: relay_capnp::portion::Reader<'_>) -> Result<Portion, Error> {
    let records = from.get_records()?.iter().map(read_record).collect::<Result<_, _>>()?;
    Ok(Portion {
        timeline: Timeline(from.get_timeline()),
        base: from.get_base(),
        from: from.get_from(),
        end: from.get_end(),
        is_listing: from.get_is_listing(),
        has_more: from.get_has_more(),
        records,
        slice: read_slice(from.get_slice()?)?,
    })
}

/// Decodes the positions of a peer's table copies. Builds older than timelines send
/// none, which counts as timeline 0.
pub fn read_positions(
    timelines: capnp::primitive_list::Reader<'_, u64>,
    ends: capnp::primitive_list::Reader<'_, u64>,
) -> Vec<Position> {
    let timelines = timelines.iter().chain(std::iter::repeat(0));
    let pairs = timelines.zip(ends.iter());
    pairs.map(|(timeline, offset)| Position { timeline: Timeline(timeline), offset }).collect()
}

/// Encodes pieces.
pub fn write_pieces(
    now: Duration,
    pieces: &[Piece],
    mut list: capnp::struct_list::Builder<'_, relay_capnp::piece::Owned>,
) {
    for (idx, piece) in (0..).zip(pieces) {
        let mut to = list.reborrow().get(idx);
        to.set_service(&*piece.service);
        to.set_request(&*piece.request);
        to.set_stage(piece.stage);
        to.set_number(piece.number);
        to.set_key(piece.key.as_deref().unwrap_or_default());
        to.set_bytes(piece.bytes);
        to.set_due_micros(micros_left(now, piece.deadline));
        to.set_aim_micros(micros_left(now, piece.target));
        to.set_priority(piece.priority);
        to.set_home(piece.destination.as_deref().unwrap_or_default());
        to.set_is_repeat(piece.is_repeat);
        to.set_is_begun(piece.is_begun);
        to.set_is_resumed(piece.is_resumed);
        to.set_content(&write_content(piece.content));
        to.set_is_apart(piece.is_isolated);
        to.set_is_last_reader(piece.is_last_reader);
        to.set_region(piece.region.as_deref().unwrap_or_default());
        to.set_route(&*piece.route);
        to.set_tries(piece.tries);
        to.set_round(piece.round);
        let mut inputs = to.init_inputs(len(&piece.inputs));
        for (idx, input) in (0..).zip(&piece.inputs) {
            inputs.set(idx, &**input);
        }
    }
}

/// Decodes pieces.
///
/// # Errors
/// Any [`Error`].
pub fn read_pieces(
    now: Duration,
    list: capnp::struct_list::Reader<'_, relay_capnp::piece::Owned>,
) -> Result<Vec<Piece>, Error> {
    list.iter().map(|from| read_piece(now, from)).collect()
}

/// Encodes results of pieces.
pub fn write_results(
    results: &[PieceResult],
    mut list: capnp::struct_list::Builder<'_, relay_capnp::result::Owned>,
) {
    for (idx, result) in (0..).zip(results) {
        let mut to = list.reborrow().get(idx);
        match result {
            Ok(handle) => to.set_handle(&**handle),
            Err(failure) => to.set_failure(write_failure(*failure)),
        }
    }
}

/// Decodes results of pieces.
///
/// # Errors
/// Any [`Error`].
pub fn read_results(
    list: capnp::struct_list::Reader<'_, relay_capnp::result::Owned>,
) -> Result<Vec<PieceResult>, Error> {
    list.iter().map(read_result).collect()
}

/// Decodes handles of results.
///
/// # Errors
/// Any [`Error`].
pub fn read_handles(list: capnp::text_list::Reader<'_>) -> Result<Vec<Handle>, Error> {
    list.iter().map(|handle| text(handle?)).collect()
}

/// Encodes a placement request.
pub fn write_placement_request(
    request: &PlacementRequest,
    mut to: relay_capnp::question::Builder<'_>,
) {
    to.set_service(&*request.service);
    to.set_input(request.prompt.input);
    to.set_output(request.prompt.output);
    to.set_region(request.region.as_deref().unwrap_or_default());
    let mut parts = to.reborrow().init_parts(len(&request.prompt.parts));
    for (idx, part) in (0..).zip(&request.prompt.parts) {
        let mut to = parts.reborrow().get(idx);
        to.set_id(part.id);
        to.set_tokens(part.tokens);
    }
    let mut inputs = to.reborrow().init_inputs(len(&request.inputs));
    for (idx, (data_centre, bytes)) in (0..).zip(&request.inputs) {
        let mut to = inputs.reborrow().get(idx);
        to.set_place(&**data_centre);
        to.set_bytes(*bytes);
    }
    let mut names = to.reborrow().init_avoided(len(&request.excluded));
    for (idx, endpoint) in (0..).zip(&request.excluded) {
        names.set(idx, &*endpoint.name);
    }
    let mut incarnations = to.init_avoided_lives(len(&request.excluded));
    for (idx, endpoint) in (0..).zip(&request.excluded) {
        incarnations.set(idx, endpoint.incarnation.0);
    }
}

/// Decodes a placement request.
///
/// # Errors
/// Any [`Error`].
pub fn read_placement_request(
    from: relay_capnp::question::Reader<'_>,
) -> Result<PlacementRequest, Error> {
    let parts = from.get_parts()?.iter();
    let prompt = Prompt {
        parts: parts.map(|part| Part { id: part.get_id(), tokens: part.get_tokens() }).collect(),
        input: from.get_input(),
        output: from.get_output(),
    };
    let inputs = from.get_inputs()?.iter();
    let inputs = inputs.map(|input| Ok((text(input.get_place()?)?, input.get_bytes())));
    let excluded = from.get_avoided()?.iter().zip(from.get_avoided_lives()?.iter());
    let excluded = excluded.map(|(name, incarnation)| {
        Ok(EndpointId { name: text(name?)?, incarnation: Incarnation(incarnation) })
    });
    Ok(PlacementRequest {
        service: text(from.get_service()?)?,
        prompt,
        inputs: inputs.collect::<Result<_, Error>>()?,
        excluded: excluded.collect::<Result<_, Error>>()?,
        region: optional(from.get_region()?)?,
    })
}

/// Encodes a placer's answer.
pub fn write_placement(placement: &Placement, mut to: relay_capnp::placement::Builder<'_>) {
    to.set_endpoint(&*placement.engine.name);
    to.set_incarnation(placement.engine.incarnation.0);
    to.set_source(placement.source.as_deref().unwrap_or_default());
    to.set_tokens(placement.tokens);
    to.set_wait_micros(micros_left(Duration::ZERO, placement.wait));
    to.set_number(placement.number);
}

/// Decodes a placer's answer; `None` if it found no engine.
///
/// # Errors
/// Any [`Error`].
pub fn read_placement(
    from: relay_capnp::placement::Reader<'_>,
) -> Result<Option<Placement>, Error> {
    let Some(name) = optional(from.get_endpoint()?)? else { return Ok(None) };
    let engine = EndpointId { name, incarnation: Incarnation(from.get_incarnation()) };
    let (source, tokens) = (optional(from.get_source()?)?, from.get_tokens());
    let wait = Duration::from_micros(from.get_wait_micros());
    Ok(Some(Placement { engine, source, tokens, wait, number: from.get_number() }))
}

/// Encodes the progress of calls.
pub fn write_progress(
    progress: &[Progress],
    mut list: capnp::struct_list::Builder<'_, relay_capnp::progress::Owned>,
) {
    for (idx, progress) in (0..).zip(progress) {
        let mut to = list.reborrow().get(idx);
        to.set_number(progress.number);
        to.set_step(write_step(progress.step));
        to.set_is_refused(matches!(progress.step, Step::Refused(_)));
        if let Step::Answered(Some(load)) | Step::Refused(Some(load)) = progress.step {
            to.set_has_load(true);
            to.set_running(load.running);
            to.set_waiting(load.queued);
        }
    }
}

/// Decodes the progress of a call.
///
/// # Errors
/// Any [`Error`].
pub fn read_progress(from: relay_capnp::progress::Reader<'_>) -> Result<Progress, Error> {
    let (running, queued) = (from.get_running(), from.get_waiting());
    let load = Load { running, queued, places: 0, age_ms: 0 };
    let load = from.get_has_load().then_some(load);
    let step = match from.get_step().map_err(capnp::Error::from)? {
        relay_capnp::Step::FirstToken => Step::Answered(load),
        relay_capnp::Step::Ended if from.get_is_refused() => Step::Refused(load),
        relay_capnp::Step::Ended => Step::Ended,
        relay_capnp::Step::Unsent => Step::Failed(Failure::Unsent),
        relay_capnp::Step::Cut => Step::Failed(Failure::Cut),
        relay_capnp::Step::Foreign => Step::Failed(Failure::Foreign),
    };
    Ok(Progress { number: from.get_number(), step })
}

/// Encodes crash reports.
pub fn write_crashes(
    crashes: &[Crash],
    mut list: capnp::struct_list::Builder<'_, relay_capnp::crash::Owned>,
) {
    for (idx, crash) in (0..).zip(crashes) {
        let mut to = list.reborrow().get(idx);
        to.set_content(&write_content(crash.content));
        to.set_endpoint(&*crash.endpoint.name);
        to.set_incarnation(crash.endpoint.incarnation.0);
        to.set_age_ms(write_age(crash.age));
        to.set_is_late(crash.is_late);
        to.set_is_part(crash.is_part);
    }
}

/// Decodes a crash report.
///
/// # Errors
/// Any [`Error`].
pub fn read_crash(from: relay_capnp::crash::Reader<'_>) -> Result<Crash, Error> {
    let name = text(from.get_endpoint()?)?;
    Ok(Crash {
        content: read_content(from.get_content()?),
        endpoint: EndpointId { name, incarnation: Incarnation(from.get_incarnation()) },
        age: Duration::from_millis(u64::from(from.get_age_ms())),
        is_late: from.get_is_late(),
        is_part: from.get_is_part(),
    })
}

/// Decodes an instance's name.
///
/// # Errors
/// Any [`Error`].
pub fn read_name(from: capnp::text::Reader<'_>) -> Result<InstanceName, Error> {
    text(from)
}

/// Encodes notices on endpoints.
pub fn write_notices(
    notices: &[Notice],
    mut list: capnp::struct_list::Builder<'_, relay_capnp::notice::Owned>,
) {
    for (idx, notice) in (0..).zip(notices) {
        let mut to = list.reborrow().get(idx);
        to.set_endpoint(&*notice.endpoint.name);
        to.set_incarnation(notice.endpoint.incarnation.0);
        to.set_age_ms(write_age(notice.age));
        to.set_is_leaving(notice.is_leaving);
        to.set_is_limited(notice.limit.is_some());
        to.set_limit(notice.limit.unwrap_or(Rate(0)).0);
    }
}

/// Decodes notices on endpoints.
///
/// # Errors
/// Any [`Error`].
pub fn read_notices(
    list: capnp::struct_list::Reader<'_, relay_capnp::notice::Owned>,
) -> Result<Vec<Notice>, Error> {
    let read = |from: relay_capnp::notice::Reader<'_>| {
        let name = text(from.get_endpoint()?)?;
        Ok(Notice {
            endpoint: EndpointId { name, incarnation: Incarnation(from.get_incarnation()) },
            is_leaving: from.get_is_leaving(),
            limit: from.get_is_limited().then(|| Rate(from.get_limit())),
            age: Duration::from_millis(u64::from(from.get_age_ms())),
        })
    };
    list.iter().map(read).collect()
}

/// Encodes the fingerprint of a content.
pub fn write_content(content: Fingerprint) -> [u8; 16] {
    content.0.to_be_bytes()
}

/// Decodes the fingerprint of a content; [`Fingerprint::UNKNOWN`] if the peer's build
/// does not send it.
pub fn read_content(from: &[u8]) -> Fingerprint {
    let bytes = from.try_into().map(u128::from_be_bytes);
    bytes.map_or(Fingerprint::UNKNOWN, Fingerprint)
}

/// Encodes an age in milliseconds.
pub fn write_age(age: Duration) -> u32 {
    u32::try_from(age.as_millis()).unwrap_or(u32::MAX)
}

fn write_step(step: Step) -> relay_capnp::Step {
    match step {
        Step::Answered(_) => relay_capnp::Step::FirstToken,
        Step::Refused(_) | Step::Ended => relay_capnp::Step::Ended,
        Step::Failed(Failure::Unsent) => relay_capnp::Step::Unsent,
        Step::Failed(Failure::Cut) => relay_capnp::Step::Cut,
        Step::Failed(Failure::Foreign) => relay_capnp::Step::Foreign,
    }
}

fn read_record(from: relay_capnp::record::Reader<'_>) -> Result<Record, Error> {
    let value = Bytes::copy_from_slice(from.get_value()?);
    Ok(Record {
        key: text(from.get_key()?)?,
        offset: from.get_offset(),
        value: (!from.get_is_removed()).then_some(value),
    })
}

fn write_slice(slice: &Slice, mut to: relay_capnp::slice::Builder<'_>) {
    to.set_key(&*slice.key);
    to.set_offset(slice.offset);
    to.set_at(slice.at);
    to.set_size(slice.size);
    to.set_bytes(&slice.bytes);
}

fn read_slice(from: relay_capnp::slice::Reader<'_>) -> Result<Option<Slice>, Error> {
    let slice = Slice {
        key: text(from.get_key()?)?,
        offset: from.get_offset(),
        at: from.get_at(),
        size: from.get_size(),
        bytes: Bytes::copy_from_slice(from.get_bytes()?),
    };
    Ok((slice.size > 0).then_some(slice))
}

fn read_piece(now: Duration, from: relay_capnp::piece::Reader<'_>) -> Result<Piece, Error> {
    let inputs = from.get_inputs()?.iter().map(|input| text(input?));
    Ok(Piece {
        service: text(from.get_service()?)?,
        route: text(from.get_route()?)?,
        request: text(from.get_request()?)?,
        stage: from.get_stage(),
        number: from.get_number(),
        key: optional(from.get_key()?)?,
        inputs: inputs.collect::<Result<_, _>>()?,
        bytes: from.get_bytes(),
        deadline: now + Duration::from_micros(from.get_due_micros()),
        target: now + Duration::from_micros(from.get_aim_micros()),
        priority: from.get_priority(),
        destination: optional(from.get_home()?)?,
        round: from.get_round(),
        tries: from.get_tries(),
        is_repeat: from.get_is_repeat(),
        is_begun: from.get_is_begun(),
        is_resumed: from.get_is_resumed(),
        content: read_content(from.get_content()?),
        is_isolated: from.get_is_apart(),
        is_last_reader: from.get_is_last_reader(),
        region: optional(from.get_region()?)?,
    })
}

fn read_result(from: relay_capnp::result::Reader<'_>) -> Result<PieceResult, Error> {
    match optional(from.get_handle()?)? {
        Some(handle) => Ok(Ok(handle)),
        None => Ok(Err(read_failure(from.get_failure().map_err(capnp::Error::from)?))),
    }
}

fn write_failure(failure: PieceFailure) -> relay_capnp::Failure {
    match failure {
        PieceFailure::Late => relay_capnp::Failure::Late,
        PieceFailure::InputGone => relay_capnp::Failure::InputGone,
        PieceFailure::NoRoom => relay_capnp::Failure::NoRoom,
        PieceFailure::Failed => relay_capnp::Failure::Failed,
    }
}

fn read_failure(failure: relay_capnp::Failure) -> PieceFailure {
    match failure {
        relay_capnp::Failure::Late => PieceFailure::Late,
        relay_capnp::Failure::InputGone => PieceFailure::InputGone,
        relay_capnp::Failure::NoRoom => PieceFailure::NoRoom,
        relay_capnp::Failure::Failed => PieceFailure::Failed,
    }
}

fn micros_left(now: Duration, at: Duration) -> u64 {
    u64::try_from(at.saturating_sub(now).as_micros()).unwrap_or(u64::MAX)
}

fn text(from: capnp::text::Reader<'_>) -> Result<Arc<str>, Error> {
    Ok(Arc::from(from.to_str()?))
}

fn optional(from: capnp::text::Reader<'_>) -> Result<Option<Arc<str>>, Error> {
    let text = from.to_str()?;
    Ok((!text.is_empty()).then(|| Arc::from(text)))
}

fn len<T>(list: &[T]) -> u32 {
    u32::try_from(list.len()).expect("messages are bounded far below 2^32 items")
}
