//! Is a document valid? Nothing is published.

use peatdeck_core::{check, document::Document};
use peatdeck_wire::admin::CheckReply;

use crate::context::Context;

/// Checks a document as a publish would.
pub fn check(ctx: &Context, document: &Document) -> CheckReply {
    let problems = check::check(document, ctx.compile);
    CheckReply { valid: problems.is_empty(), problems }
}
