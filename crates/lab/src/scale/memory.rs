//! Resident memory of this process.

use eyre::WrapErr;

const PAGE_BYTES: u64 = 4_096;

/// Resident set of this process in bytes, as the kernel counts it.
pub fn resident_bytes() -> eyre::Result<u64> {
    let text = std::fs::read_to_string("/proc/self/statm").wrap_err("reading /proc/self/statm")?;
    let pages = text.split_whitespace().nth(1);
    let pages = pages.ok_or_else(|| eyre::eyre!("/proc/self/statm has no second field"))?;
    Ok(pages.parse::<u64>()? * PAGE_BYTES)
}
