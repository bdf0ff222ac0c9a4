//! Answers that hemlockfall itself generates.

use hemlockfall_request::outcome::Outcome;
use hemlockfall_request::outcome::Reason;

use crate::edge::http;
use crate::edge::http::Header;
use crate::edge::http::HttpAnswer;

const MS_PER_S: u32 = 1000;

/// `generated` makes the answer for a reason; its headers tell whether the request ran and when
/// to come back.
#[must_use]
pub fn generated(outcome: Outcome, reason: Reason, retry_after_ms: Option<u32>) -> HttpAnswer {
    let mut headers = vec![
        Header::new("content-type", "text/plain; charset=utf-8"),
        Header::new(http::OUTCOME_HEADER, outcome.header()),
        Header::new(http::CODE_HEADER, reason.code().to_string()),
    ];
    if let Some(retry_after_ms) = retry_after_ms {
        // The header counts whole seconds.
        let seconds = retry_after_ms.div_ceil(MS_PER_S).max(1);
        headers.push(Header::new("retry-after", seconds.to_string()));
    }
    let body = format!("{reason} ({})\n", outcome.header());
    HttpAnswer::new(reason.http_status(), headers, body.into_bytes())
}
