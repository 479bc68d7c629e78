//! The steps of a history, and how they are generated.

use proptest::prelude::*;

#[derive(Debug, Clone)]
pub enum Step {
    Arrive(u8),
    Reply(u8, u8),
    Event(u8),
    End(u8),
    Fail(u8, u8),
    Complete(u8, u8),
    Disconnect(u8),
    StartLeaving(u8),
    Join,
    /// An endpoint restarts with the same name.
    Restart(u8),
    Wait(u16),
    /// Time passes, but the next event is handled before the timers that have expired.
    Elapse(u16),
    /// A request with one of a few contents is submitted.
    SubmitContent(u8, u8),
    /// An endpoint crashes: its calls are interrupted, and a new connection is refused.
    Crash(u8),
    /// Its calls are interrupted, but a new connection succeeds.
    Reset(u8),
    /// A peer or the platform's table reports that a content is quarantined, or no longer.
    Quarantine(u8, bool),
    /// Operators evacuate a data centre, or restore it.
    Evacuate(u8, bool),
    /// An endpoint reports for how many milliseconds it is cold.
    ReportCold(u8, u16),
    /// A reply reports something about its endpoint.
    ReplyWith(u8, Report),
    /// A stream that has brought events is taken up.
    TakeUp(u8),
    /// An endpoint of the new version joins, or of the old one.
    JoinAs(bool),
    /// The instance is killed; another one that knows nothing but the directory takes its place.
    Replace,
    /// A step of the peer that places prompts and makes pieces.
    Peer(PeerStep),
}

/// What happens at the peer, and between it and the instance.
#[derive(Debug, Clone, Copy)]
pub enum PeerStep {
    /// A request with a prompt is submitted, with stages for the upper half of the values.
    SubmitPrompt(u8),
    /// The peer answers one of the placement requests.
    Place(u8, u8),
    /// The peer returns pieces of one of the hand-overs.
    Return(u8, u8),
    /// The peer is found to be alive, or not.
    SetAlive(bool),
    /// An engine is removed, or starts again.
    SetEngine(u8, bool),
    /// The peer hands over pieces.
    HandOver(u8),
    /// The peer recalls pieces that it handed over.
    Recall(u8),
}

/// What a reply reports about its endpoint.
#[derive(Debug, Clone, Copy)]
pub enum Report {
    Leaving,
    /// For how many milliseconds it asks to be sent nothing.
    Hold(u16),
    /// Its limit, in thousandths of a call per second.
    Limit(u16),
}

fn report() -> impl Strategy<Value = Report> {
    prop_oneof![
        1 => Just(Report::Leaving),
        2 => (0_u16..4000).prop_map(Report::Hold),
        2 => (0_u16..500).prop_map(Report::Limit),
    ]
}

/// Steps in which endpoints also report holds, limits and leaving in their replies.
pub fn step_with_terms() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => step(),
        8 => (0_u8..128).prop_map(Step::Arrive),
        3 => (any::<u8>(), report()).prop_map(|(call, report)| Step::ReplyWith(call, report)),
    ]
}

pub fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => any::<u8>().prop_map(Step::Arrive),
        4 => (any::<u8>(), any::<u8>()).prop_map(|(call, how)| Step::Reply(call, how)),
        3 => any::<u8>().prop_map(Step::Event),
        2 => any::<u8>().prop_map(Step::End),
        2 => (any::<u8>(), any::<u8>()).prop_map(|(call, how)| Step::Fail(call, how)),
        5 => (any::<u8>(), any::<u8>()).prop_map(|(call, how)| Step::Complete(call, how)),
        1 => any::<u8>().prop_map(Step::Disconnect),
        1 => any::<u8>().prop_map(Step::StartLeaving),
        1 => Just(Step::Join),
        1 => any::<u8>().prop_map(Step::Restart),
        2 => (0_u16..900).prop_map(Step::Wait),
        1 => (0_u16..900).prop_map(Step::Elapse),
    ]
}

/// Steps with requests that crash endpoints.
pub fn step_with_crashes() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => step(),
        3 => (any::<u8>(), any::<u8>()).prop_map(|(route, pick)| Step::SubmitContent(route, pick)),
        3 => any::<u8>().prop_map(Step::Crash),
        1 => any::<u8>().prop_map(Step::Reset),
        1 => (any::<u8>(), any::<bool>()).prop_map(|(pick, is_set)| Step::Quarantine(pick, is_set)),
    ]
}

/// Steps in which data centres are evacuated and endpoints become cold.
pub fn step_with_evacuations() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => step(),
        3 => (any::<u8>(), any::<bool>()).prop_map(|(pick, is_set)| Step::Evacuate(pick, is_set)),
        2 => (any::<u8>(), 0_u16..3000).prop_map(|(pick, left)| Step::ReportCold(pick, left)),
    ]
}

/// Steps in which endpoints have two versions and callers take streams up.
pub fn step_with_versions() -> impl Strategy<Value = Step> {
    prop_oneof![
        16 => step(),
        8 => any::<u8>().prop_map(Step::Event),
        6 => any::<u8>().prop_map(Step::TakeUp),
        4 => any::<bool>().prop_map(Step::JoinAs),
        // Resumable streams.
        4 => (0_u8..32).prop_map(|pick| Step::Arrive(4 * pick + 3)),
        1 => Just(Step::Replace),
    ]
}

/// Steps with a peer that places prompts and makes pieces.
pub fn step_with_peer() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => step(),
        2 => (0_u16..2500).prop_map(Step::Elapse),
        12 => peer_step().prop_map(Step::Peer),
    ]
}

fn peer_step() -> impl Strategy<Value = PeerStep> {
    prop_oneof![
        4 => any::<u8>().prop_map(PeerStep::SubmitPrompt),
        6 => (any::<u8>(), any::<u8>()).prop_map(|(pick, how)| PeerStep::Place(pick, how)),
        6 => (any::<u8>(), any::<u8>()).prop_map(|(pick, how)| PeerStep::Return(pick, how)),
        1 => any::<bool>().prop_map(PeerStep::SetAlive),
        2 => (any::<u8>(), any::<bool>()).prop_map(|(pick, is_up)| PeerStep::SetEngine(pick, is_up)),
        1 => any::<u8>().prop_map(PeerStep::HandOver),
        1 => any::<u8>().prop_map(PeerStep::Recall),
    ]
}
