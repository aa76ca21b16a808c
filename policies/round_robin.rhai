// Each request goes to the next replica, whatever its prompt.
fn score(request, candidate) {
    if candidate.position == request.sequence % request.candidates { 0.0 } else { 1.0 }
}
