//! What replicas' answers ask of this gateway.

use super::super::dialect::AnswerTags;
use super::Exchange;
use topazmount_gateway::Choice;

impl Exchange<'_> {
    /// Notes what an answer on a connection to the chosen replica asks; it may answer an earlier request.
    pub(super) fn note_pushback(&self, choice: &Choice, tags: &AnswerTags, status: u16) {
        let asked = tags.pushback;
        let asks = asked.rest.is_some() || asked.is_leaving || asked.unreadable.is_some();
        if !asks && !tags.is_not_run {
            return;
        }
        self.shared.metrics.event("pushback");
        self.shared.journal.line(|| {
            format!(
                "gateway: event=pushback request={} instance={} start={} status={status} not_run={} rest_ms={} leaving={} unreadable={}",
                self.tags.id,
                choice.instance.id,
                choice.instance.start,
                tags.is_not_run,
                asked.rest.map_or_else(|| "none".to_owned(), |rest| rest.as_millis().to_string()),
                asked.is_leaving,
                asked.unreadable.unwrap_or("none")
            )
        });
    }
}
