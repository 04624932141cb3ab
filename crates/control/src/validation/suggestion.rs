//! The nearest known word, for people who mistyped.

/// Similarity below which a word is not worth suggesting.
const MIN_SIMILARITY: f64 = 0.6;

/// The known word nearest to `word`, if one is near enough.
pub fn nearest<'a>(word: &str, known: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    let word = word.to_lowercase();
    known
        .into_iter()
        .map(|candidate| {
            let similarity = strsim::jaro_winkler(&word, &candidate.to_lowercase());
            (similarity, candidate)
        })
        .filter(|(similarity, _)| *similarity >= MIN_SIMILARITY)
        .max_by(|(left, _), (right, _)| left.total_cmp(right))
        .map(|(_, candidate)| candidate)
}

/// `; did you mean "..."?` where a known word is near, otherwise nothing.
pub(crate) fn hint<'a>(word: &str, known: impl IntoIterator<Item = &'a str>) -> String {
    match nearest(word, known) {
        Some(candidate) => format!("; did you mean {candidate:?}?"),
        None => String::new(),
    }
}
