//! Checks a document without publishing it.

use peatdeck_core::{check, document::Document};
use peatdeck_wire::admin::CheckReply;

use crate::context::Context;

/// Applies the checks of a publish to a document.
pub fn check(ctx: &Context, document: &Document) -> CheckReply {
    let problems = check::check(document, ctx.compile);
    CheckReply { valid: problems.is_empty(), problems }
}
