//! Large answers on links: sent in chunks at the rate of the VM's uplink, and reassembled.

use hemlockfall_core::ids::RouteName;
use hemlockfall_http::http::HttpAnswer;
use hemlockfall_http::http1::body;

use crate::admission::UplinkDemand;
use crate::clock::Time;
use crate::edge::frame;
use crate::edge::frame::ChunkFrame;
use crate::edge::frame::Frame;
use crate::edge::frame::FrameError;
use crate::model::LoadReport;
use crate::node::Node;
use crate::node::Timer;
use crate::node::calls::AttemptEnd;
use crate::node::links::Link;
use crate::node::ms;
use crate::table::Table;
use crate::uplink::Chunk;

/// Unsent output of a link above which no chunk is added to it.
const MAX_LINK_BACKLOG_BYTES: usize = 256 * 1024;

/// Answer whose body is being sent in chunks.
pub(crate) struct OutgoingAnswer {
    link: u64,
    call: u64,
    body: Vec<u8>,
    sent_bytes: usize,
}

/// Answer whose body has not been received completely.
pub(crate) struct IncomingAnswer {
    pub(super) call: u64,
    answer: HttpAnswer,
    missing_bytes: usize,
}

impl OutgoingAnswer {
    /// Returns the size of the body.
    pub(super) fn held_bytes(&self) -> usize {
        self.body.capacity()
    }
}

impl IncomingAnswer {
    /// Returns the size of the buffer for the body.
    pub(super) fn held_bytes(&self) -> usize {
        self.answer.body.capacity()
    }
}

impl Node {
    /// Begins to send the body of an answer in chunks, after its [`Frame::Answer`].
    pub(super) fn begin_transfer(&mut self, link: u64, call: u64, body: Vec<u8>, due: Time) {
        let bytes = body.len();
        let id = self.transfers.insert(OutgoingAnswer {
            link,
            call,
            body,
            sent_bytes: 0,
        });
        self.uplink.begin(id, bytes, due);
        self.drive_uplink();
    }

    /// Sends the chunks that the uplink has room for, and sets a timer for the next one.
    pub(super) fn drive_uplink(&mut self) {
        loop {
            let (transfers, links) = (&self.transfers, &self.links);
            let can_send = |id| has_room(transfers, links, id);
            let Some(chunk) = self.uplink.next_chunk_of(self.now, can_send) else {
                break;
            };
            self.send_chunk(chunk);
        }
        let can_send = |id| has_room(&self.transfers, &self.links, id);
        let Some(next) = self.uplink.next_at_of(can_send) else {
            return;
        };
        if self
            .uplink_timer
            .is_none_or(|at| next < at || at <= self.now)
        {
            self.uplink_timer = Some(next);
            self.set_timer(next, Timer::Uplink);
        }
    }

    fn send_chunk(&mut self, chunk: Chunk) {
        let Some(outgoing) = self.transfers.get_mut(chunk.transfer) else {
            return;
        };
        let start = outgoing.sent_bytes;
        let end = (start + chunk.bytes).min(outgoing.body.len());
        outgoing.sent_bytes = end;
        let (link, is_done) = (outgoing.link, end == outgoing.body.len());
        let frame = Frame::AnswerChunk(ChunkFrame {
            call: outgoing.call,
            bytes: outgoing.body[start..end].to_vec(),
        });
        if is_done {
            self.transfers.remove(chunk.transfer);
        }
        self.send_frame(link, &frame);
    }

    /// Cancels the transfer of an answer that is no longer needed. Returns whether it was being
    /// sent.
    pub(super) fn cancel_transfer(&mut self, link: u64, call: u64) -> bool {
        let found = self
            .transfers
            .iter()
            .find(|(_, outgoing)| outgoing.link == link && outgoing.call == call)
            .map(|(id, _)| id);
        if let Some(id) = found {
            self.transfers.remove(id);
            self.uplink.cancel(id);
        }
        found.is_some()
    }

    /// Discards the answers that are being sent on a link.
    pub(super) fn cancel_transfers_on(&mut self, link: u64) {
        let lost: Vec<u64> = self
            .transfers
            .iter()
            .filter(|(_, outgoing)| outgoing.link == link)
            .map(|(id, _)| id)
            .collect();
        for id in lost {
            self.transfers.remove(id);
            self.uplink.cancel(id);
        }
    }

    /// Stores an answer whose body follows in chunks.
    pub(super) fn expect_chunks(&mut self, link: u64, call: u64, answer: HttpAnswer, bytes: u32) {
        if let Some(link) = self.links.get_mut(link) {
            link.incoming.push(IncomingAnswer {
                call,
                answer,
                missing_bytes: usize::try_from(bytes).unwrap_or(usize::MAX),
            });
        }
    }

    pub(super) fn handle_chunk(&mut self, id: u64, chunk: &ChunkFrame) -> frame::Result<()> {
        let Some(link) = self.links.get_mut(id) else {
            return Ok(());
        };
        let found = link
            .incoming
            .iter()
            .position(|incoming| incoming.call == chunk.call);
        let Some(index) = found else {
            // The caller has disconnected, and the cancellation is on its way to the sender.
            return Ok(());
        };
        let incoming = &mut link.incoming[index];
        let wanted_bytes = incoming.missing_bytes;
        incoming.missing_bytes = wanted_bytes
            .checked_sub(chunk.bytes.len())
            .ok_or(FrameError::Malformed)?;
        body::append_to_body(&mut incoming.answer.body, &chunk.bytes, wanted_bytes);
        if incoming.missing_bytes > 0 {
            return Ok(());
        }
        let answer = link.incoming.remove(index).answer;
        self.link_call_ended(id, chunk.call, AttemptEnd::Answered(Box::new(answer)));
        Ok(())
    }

    /// Returns the mean size of a route's answers if it is large enough for chunks, otherwise 0.
    pub(super) fn large_answer_bytes(&self, route: &str) -> usize {
        let kib = self.answer_sizes.kib(route).unwrap_or_default();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a mean of sizes of bodies in memory"
        )]
        let bytes = (kib * 1024.0) as usize;
        if self.uplink.is_large(bytes) {
            bytes
        } else {
            0
        }
    }

    /// Returns the time that an answer needs on the uplink, and when the uplink is free for it.
    pub(super) fn uplink_demand(&self, bytes: usize) -> UplinkDemand {
        if bytes == 0 {
            return UplinkDemand::default();
        }
        UplinkDemand {
            free_at: self.now + self.uplink.busy_for(self.now),
            send: self.uplink.time_for(bytes),
        }
    }

    /// Returns the load of the target and of the uplink.
    pub(super) fn load(&self) -> LoadReport {
        LoadReport {
            uplink_busy_ms: saturated_ms(self.uplink.busy_for(self.now)),
            rate_limit_wait_ms: self.rate_limit_wait_ms(),
            ..self.target.admission.load()
        }
    }

    /// Returns the mean run times and uplink times, in milliseconds, of the routes that the target
    /// runs most often.
    pub(super) fn route_times(&self) -> Vec<(RouteName, u16, u16)> {
        let routes = self.target.admission.busiest_routes();
        let times = routes.into_iter().map(|route| {
            let load = self.load_for(&route);
            (route, load.route_run_ms, load.route_send_ms)
        });
        times.collect()
    }

    /// Returns the load of the target and of the uplink, with the mean times of a route.
    pub(super) fn load_for(&self, route: &str) -> LoadReport {
        let bytes = self.large_answer_bytes(route);
        LoadReport {
            uplink_busy_ms: saturated_ms(self.uplink.busy_for(self.now)),
            route_send_ms: saturated_ms(self.uplink.time_for(bytes)),
            rate_limit_wait_ms: self.rate_limit_wait_ms(),
            ..self.target.admission.load_for(route)
        }
    }

    /// Returns the time until the rate limit of the target allows a further request.
    pub(super) fn rate_limit_wait_ms(&self) -> u16 {
        saturated_ms(self.target.admission.rate_limit_wait(self.now))
    }
}

/// Returns whether the link of a transfer takes another chunk. A transfer without a link is sent to
/// its end, which goes nowhere.
fn has_room(transfers: &Table<OutgoingAnswer>, links: &Table<Link>, id: u64) -> bool {
    transfers
        .get(id)
        .and_then(|outgoing| links.get(outgoing.link))
        .is_none_or(|link| link.unsent_bytes() < MAX_LINK_BACKLOG_BYTES)
}

fn saturated_ms(duration: std::time::Duration) -> u16 {
    u16::try_from(ms(duration)).unwrap_or(u16::MAX)
}
