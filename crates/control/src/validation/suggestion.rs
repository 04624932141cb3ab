//! Suggestions for misspelled words.

/// Minimum Jaro-Winkler similarity of a suggestion, from 0 to 1.
const MIN_SIMILARITY: f64 = 0.6;

/// Returns the known word most similar to `word`, if any is similar enough.
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

/// Returns `; did you mean "..."?` with the most similar known word, or an empty string.
pub(crate) fn did_you_mean<'a>(word: &str, known: impl IntoIterator<Item = &'a str>) -> String {
    match nearest(word, known) {
        Some(candidate) => format!("; did you mean {candidate:?}?"),
        None => String::new(),
    }
}
