//! Enforces the budget of memory for messages that are being read.

use serde_json::json;

use crate::buffers;
use crate::buffers::BufferLimits;
use crate::edge::frame::Failure;
use crate::log::LogCategory;
use crate::node::Node;
use crate::node::Socket;

impl Node {
    pub(super) fn buffer_limits(&self) -> BufferLimits {
        BufferLimits::for_memory(self.settings.memory_bytes())
    }

    /// Closes the connections that hold the most if all together exceed the budget.
    pub(super) fn check_buffers(&mut self) {
        let budget_bytes = self.buffer_limits().budget_bytes;
        for (socket, held_bytes) in buffers::connections_to_close(self.holders(), budget_bytes) {
            metrics::counter!("hemlockfall_sidecar_inputs_cut_total", "from" => socket.name())
                .increment(1);
            if self.log.admits(LogCategory::Failure, self.now) {
                self.log.write(
                    "input_cut",
                    json!({
                        "from": socket.name(), "request": self.request_on(socket),
                        "held_bytes": held_bytes, "budget_bytes": budget_bytes,
                    }),
                );
            }
            self.cut_input(socket);
        }
    }

    /// Returns the connections that hold input, with the size of their buffers.
    fn holders(&self) -> Vec<(Socket, usize)> {
        let targets = self
            .connections
            .iter()
            .map(|(id, open)| (Socket::Target(id), open.held_bytes()));
        let callers = self
            .callers
            .iter()
            .map(|(id, caller)| (Socket::Caller(id), caller.held_bytes()));
        let links = self
            .links
            .iter()
            .map(|(id, link)| (Socket::Link(id), link.held_bytes()));
        targets
            .chain(callers)
            .chain(links)
            .chain(self.store.held_bytes())
            .filter(|(_, bytes)| *bytes > 0)
            .collect()
    }

    /// Returns the id of the request whose answer a connection to the target carries.
    fn request_on(&self, socket: Socket) -> Option<&str> {
        let Socket::Target(id) = socket else {
            return None;
        };
        let work = self.connections.get(id)?.work()?;
        self.target
            .work_items
            .get(work)
            .map(|work| work.request_id.as_str())
    }

    fn cut_input(&mut self, socket: Socket) {
        match socket {
            Socket::Target(id) => self.end_connection(id, Failure::BadAnswer),
            Socket::Caller(id) => self.refuse_input(id),
            Socket::Link(id) => self.link_lost(id, "too much input"),
            Socket::Store(channel) => self.store_call_failed(channel, "too much input"),
            Socket::Listener(_) | Socket::Signals => {}
        }
    }
}
