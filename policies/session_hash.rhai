// All requests of a conversation go to one replica.
fn score(request, candidate) {
    let key = if request.session == 0 { request.sequence } else { request.session };
    -mix(key, candidate.id)
}
