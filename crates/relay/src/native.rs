//! The product's own dialect: names of headers, and bodies of the relay's own calls.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::HeaderName;
use peatdeck_core::{
    model::Incarnation,
    relay::model::{Handle, HeldParts, Piece, PieceFailure, PieceResult},
};
use peatdeck_macros::message;

use crate::dialect::{self, Dialect, HeaderNames, PostRequest};

/// The body of a call that runs pieces.
#[message]
pub struct PiecesBody {
    /// The pieces to run, in the order of the results.
    pub pieces: Vec<PieceBody>,
}

/// One piece of a call.
#[message]
pub struct PieceBody {
    /// The id of the caller's request that the piece belongs to.
    pub request: Arc<str>,
    /// The stage's position in its route.
    pub stage: u16,
    /// The piece's number within the stage.
    pub number: u16,
    /// Time until the caller's deadline.
    pub remaining_ms: u64,
    /// Key of the input, if the stage follows no other.
    pub key: Option<Arc<str>>,
    /// Handles of the input results, if the stage follows others.
    pub inputs: Vec<Handle>,
}

/// The reply to a call for pieces.
#[message]
pub struct ResultsBody {
    /// The results, in the order of the pieces.
    pub results: Vec<ResultBody>,
}

/// Result of one piece.
#[message]
#[serde(rename_all = "snake_case")]
pub enum ResultBody {
    /// The piece was run; its result has this handle, `ip:port/name`.
    Made(Handle),
    /// The deadline had passed.
    Late,
    /// An input result no longer exists.
    InputGone,
    /// The endpoint had no memory left for the result.
    NoRoom,
    /// The piece failed for another reason.
    Failed,
}

/// The body of a call that frees results.
#[message]
pub struct FreeBody {
    /// Handles of the results to free.
    pub handles: Vec<Handle>,
}

/// The prompt parts that an engine holds.
#[message]
pub struct PartsBody {
    /// Incarnation of the engine, if it states one.
    pub incarnation: Option<u64>,
    /// Ids of the parts, in hexadecimal.
    pub parts: Vec<Arc<str>>,
}

/// The dialect of callers and endpoints that use the product's own format.
pub fn dialect() -> Dialect {
    let name = HeaderName::from_static;
    Dialect {
        names: HeaderNames {
            request: name("peatdeck-request"),
            deadline: name("peatdeck-deadline-ms"),
            key: name("peatdeck-key"),
            team: name("peatdeck-team"),
            endpoint: name("peatdeck-endpoint"),
            resume: name("last-event-id"),
            first_attempt: name("peatdeck-first-attempt"),
            not_run: name("peatdeck-not-run"),
            load: name("peatdeck-load"),
            seal: name("peatdeck-seal"),
            rank: name("peatdeck-rank"),
            tokens: name("peatdeck-tokens"),
            parts: name("peatdeck-parts"),
            pieces: name("peatdeck-pieces"),
            piece_key: name("peatdeck-piece-key"),
            inputs: name("peatdeck-inputs"),
            source: name("peatdeck-source"),
            cold: name("peatdeck-cold-ms"),
            limit: name("peatdeck-limit"),
            leaving: name("peatdeck-leaving"),
            max_refusals: name("peatdeck-max-refusals"),
            extra: Vec::new(),
            // How much memory an engine keeps free, and from whose memory it continues a run.
            reserved: vec![name("peatdeck-hold"), name("peatdeck-from")],
        },
        encode_pieces,
        decode_results,
        encode_free,
        parts_path: "/v1/parts",
        decode_parts,
    }
}

fn encode_pieces(pieces: &[Piece], now: Duration) -> PostRequest {
    let pieces = pieces.iter().map(|piece| PieceBody {
        request: piece.request.clone(),
        stage: piece.stage,
        number: piece.number,
        remaining_ms: piece.deadline.saturating_sub(now).as_millis() as u64,
        key: piece.key.clone(),
        inputs: piece.inputs.clone(),
    });
    PostRequest { path: "/v1/pieces", body: json(&PiecesBody { pieces: pieces.collect() }) }
}

fn decode_results(body: &[u8]) -> Option<Vec<PieceResult>> {
    let reply: ResultsBody = serde_json::from_slice(body).ok()?;
    Some(reply.results.into_iter().map(result).collect())
}

fn encode_free(handles: &[Handle]) -> PostRequest {
    PostRequest { path: "/v1/pieces/free", body: json(&FreeBody { handles: handles.to_vec() }) }
}

fn decode_parts(body: &[u8]) -> Option<HeldParts> {
    let held: PartsBody = serde_json::from_slice(body).ok()?;
    let parts = held.parts.iter().filter_map(|id| dialect::part_id(id)).collect();
    Some(HeldParts { incarnation: held.incarnation.map(Incarnation), parts })
}

fn result(body: ResultBody) -> PieceResult {
    match body {
        ResultBody::Made(handle) => Ok(handle),
        ResultBody::Late => Err(PieceFailure::Late),
        ResultBody::InputGone => Err(PieceFailure::InputGone),
        ResultBody::NoRoom => Err(PieceFailure::NoRoom),
        ResultBody::Failed => Err(PieceFailure::Failed),
    }
}

fn json<T: serde::Serialize>(body: &T) -> Bytes {
    Bytes::from(serde_json::to_vec(body).expect("the body has string keys only"))
}
