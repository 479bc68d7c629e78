// The policy of both users' deployments. What is not defined here, or answers
// with (), is decided by the built-in rules: docs/reference/policies.md.

// A request that has no time left when it is read is refused at once: its caller
// hears it before it gives up.
fn admit(ctx) {
    ctx.left_ms > 0.0
}
