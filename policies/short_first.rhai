// Least estimated time; short prompts overtake, and very long batch prompts are not taken.
fn admit(request) {
    !(request.priority == 2 && request.prompt_tokens > 100000)
}

fn order(request) {
    request.prompt_tokens
}

fn score(request, candidate) {
    candidate.queue_ms + 1.5 * candidate.prefill_ms + candidate.network_ms
}
