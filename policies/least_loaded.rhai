// The replica with the fewest requests: those it reported, and our own since.
fn score(request, candidate) {
    candidate.reported_running + candidate.in_flight + candidate.reported_waiting_tokens / 1000
}
