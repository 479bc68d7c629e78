//! How replies end.

use peatdeck_macros::id;

/// What is known of a reply after the end of its body.
#[id]
#[derive(Copy)]
pub enum BodyEnd {
    /// It states where it ends, and ended there.
    Framed,
    /// It ended with its connection, and the process that sent it still runs.
    Outlived,
    /// It ended with its connection, and the process has probably outlived it: that at the address
    /// was asked on a connection that was opened right after the head had come, but nothing of the
    /// reply came after that.
    Likely,
    /// The process that sent it has ended before it could end the reply.
    Cut,
    /// It ended with its connection, and its process could not be asked.
    Unknown,
}

/// What a reply has brought until its end.
#[id]
#[derive(Copy)]
pub enum ReplyContent {
    /// So many events of a stream that its caller did not have.
    Events(u64),
    /// A success without a body.
    EmptySuccess,
    /// Any other reply that was read whole.
    Whole,
}
