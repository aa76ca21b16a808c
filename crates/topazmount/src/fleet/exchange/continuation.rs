//! Which answers continue a stream that the client has a part of.

use super::{AttemptEnd, ClientProgress, Exchange, ResponseOutcome};
use crate::http1::{ResponseHead, Status};
use topazmount_gateway::{Choice, RequestPlan};
use topazmount_types::Time;

/// Status and media type of a stream's first answer. An answer that differs does not continue it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct StreamFormat {
    status: Status,
    media_type: Option<String>,
}

impl StreamFormat {
    pub(super) fn of(head: &ResponseHead) -> Self {
        let value = head.headers.get("content-type");
        let media_type = value.and_then(|value| value.split(';').next());
        StreamFormat {
            status: head.status,
            media_type: media_type.map(|text| text.trim().to_ascii_lowercase()),
        }
    }
}

impl ClientProgress {
    /// Whether an answer may continue the response: there is none yet, or it has the same format.
    pub(super) fn is_continued_by(&self, head: &ResponseHead) -> bool {
        self.format.as_ref().is_none_or(|format| *format == StreamFormat::of(head))
    }
}

impl Exchange<'_> {
    /// Whether the client has all events: each holds a token or more, and it has as many as the most
    /// tokens that it asked for. A replica that has nothing more to send proves no end, as a faulty one
    /// may say so amid the stream.
    pub(super) fn has_all_events(&self, progress: &ClientProgress) -> bool {
        let most = self.metadata.prompt.as_ref().map_or(0, |prompt| prompt.output_tokens);
        most > 0 && progress.event_count >= most
    }

    /// Ends the response after an answer without events to a request, sent at `sent_at`, to continue a
    /// stream.
    ///
    /// # Errors
    /// How the attempt ended, if the answer does not complete the stream.
    pub(super) async fn complete_stream(
        &mut self,
        plan: &RequestPlan,
        choice: &Choice,
        head: &ResponseHead,
        progress: &ClientProgress,
        sent_at: Time,
    ) -> Result<ResponseOutcome, AttemptEnd> {
        if !self.completes_stream(head, progress) {
            self.log_not_continued(choice, head);
            return Err(AttemptEnd::NotContinued);
        }
        let sent = self.client.finish().await;
        self.record_stream(plan, choice, progress, sent_at);
        Ok(self.outcome(sent))
    }

    /// Whether an answer without events completes the stream.
    pub(super) fn completes_stream(&self, head: &ResponseHead, progress: &ClientProgress) -> bool {
        progress.is_continued_by(head) && self.has_all_events(progress)
    }

    /// Logs an answer that does not continue the stream.
    pub(super) fn log_not_continued(&self, choice: &Choice, head: &ResponseHead) {
        self.shared.event_log.info(|| {
            format!(
                "gateway: event=stream_not_continued request={} instance={} status={} type={:?}",
                self.metadata.id,
                choice.instance.id,
                head.status,
                head.headers.get("content-type").unwrap_or_default()
            )
        });
    }
}
