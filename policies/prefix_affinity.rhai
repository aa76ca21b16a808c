// The replica believed to hold most of the prompt; of equals the one with least of our work.
fn score(request, candidate) {
    candidate.in_flight * 0.001 - candidate.cached_tokens
}
