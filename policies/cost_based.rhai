// Least estimated time to the first token: queue, uncached prompt and network.
fn score(request, candidate) {
    candidate.estimate_ms
}
