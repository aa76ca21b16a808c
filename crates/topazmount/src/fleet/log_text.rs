//! Values as text in log lines.

use topazmount_admission::RequestLimit;

/// A limit in requests per second; `none` without one.
pub(super) fn per_second(limit: Option<RequestLimit>) -> String {
    limit.map_or_else(|| "none".to_owned(), |limit| limit.rate().to_string())
}
