//! Threads that make blocking store calls for the control actor.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::thread;
use std::time::Instant;

use hemlockfall_core::ids::DataCentreName;
use hemlockfall_distribution::reader::StoreResult;
use hemlockfall_membership::join::Contacts;
use hemlockfall_store::Client;
use hemlockfall_store::catalogue;
use hemlockfall_store::client::Watched;
use stakker::sync::Channel;

const CONTACTS_PREFIX: &str = "contacts/";
/// Maximum number of queued jobs. A job that does not fit is dropped; its owner submits it again.
const QUEUE_LENGTH: usize = 8;
/// Timeout of one read. It is short because a starting node waits for it before it asks its peers.
const READ_TIMEOUT_MS: u64 = 800;

/// Result of a store call.
#[derive(Debug)]
pub enum StoreEvent {
    /// Result of a read or of one watch request.
    Catalogue(StoreResult),
    /// Contact objects.
    Contacts(Vec<Contacts>),
}

enum Job {
    ReadCatalogue,
    ReadContacts { all: bool },
    WriteContacts { addresses: Vec<SocketAddr> },
}

/// Store calls of the control actor. Results are sent over a channel.
pub struct StoreIo {
    client: Client,
    jobs: SyncSender<Job>,
    events: Channel<StoreEvent>,
    watch_stop: Option<Arc<AtomicBool>>,
}

impl StoreIo {
    /// Starts the thread for single calls.
    #[must_use]
    pub fn start(client: Client, data_centre: DataCentreName, events: Channel<StoreEvent>) -> Self {
        let mut options = client.options().clone();
        options.total_timeout_ms = READ_TIMEOUT_MS;
        options.request_timeout_ms = options.request_timeout_ms.min(READ_TIMEOUT_MS);
        let worker = Worker {
            client: Client::new(options, rand::random()),
            data_centre,
            events: events.clone(),
        };
        let (jobs, receiver) = mpsc::sync_channel(QUEUE_LENGTH);
        thread::spawn(move || worker.run(&receiver));
        Self {
            client,
            jobs,
            events,
            watch_stop: None,
        }
    }

    /// Reads the catalogue once.
    pub fn read_catalogue(&self) {
        self.submit(Job::ReadCatalogue);
    }

    /// Reads the contact object of the local data centre, and those of the other data centres only
    /// if it is empty. In a mass restart, this costs one read per node.
    pub fn read_contacts(&self) {
        self.submit(Job::ReadContacts { all: false });
    }

    /// Reads the contact objects of all data centres.
    pub fn read_all_contacts(&self) {
        self.submit(Job::ReadContacts { all: true });
    }

    /// Replaces the contact object of the local data centre.
    pub fn write_contacts(&self, addresses: Vec<SocketAddr>) {
        self.submit(Job::WriteContacts { addresses });
    }

    fn submit(&self, job: Job) {
        if self.jobs.try_send(job).is_err() {
            spdlog::warn!("store call dropped: the queue is full");
        }
    }

    /// Watches the catalogue until [`StoreIo::stop_watch`] is called.
    pub fn watch(&mut self) {
        if self.watch_stop.is_some() {
            return;
        }
        let stop = Arc::new(AtomicBool::new(false));
        self.watch_stop = Some(Arc::clone(&stop));
        let (client, events) = (self.client.clone(), self.events.clone());
        thread::spawn(move || watch(&client, &events, &stop));
    }

    /// Ends the watch after its current request.
    pub fn stop_watch(&mut self) {
        if let Some(stop) = self.watch_stop.take() {
            stop.store(true, Ordering::Relaxed);
        }
    }
}

impl Drop for StoreIo {
    fn drop(&mut self) {
        self.stop_watch();
    }
}

fn watch(client: &Client, events: &Channel<StoreEvent>, stop: &AtomicBool) {
    let mut version = 0;
    let mut backoff = client.backoff();
    while !stop.load(Ordering::Relaxed) {
        let result = match client.watch(catalogue::KEY, version) {
            Ok(Watched::Changed(object)) => {
                version = object.version;
                decode(&object.body)
            }
            Ok(Watched::Unchanged) => {
                backoff = client.backoff();
                continue;
            }
            Ok(Watched::Missing) => StoreResult::Absent,
            Err(_) => StoreResult::Unreachable,
        };
        let changed = matches!(result, StoreResult::Read(_));
        if result == StoreResult::Unreachable {
            // With version 0 the next watch returns at once, so that the end of the outage is
            // detected even if the catalogue has not changed.
            version = 0;
        }
        if !events.send(StoreEvent::Catalogue(result)) {
            return;
        }
        if changed {
            backoff = client.backoff();
            continue;
        }
        let wait = backoff.next_wait(Instant::now(), None);
        thread::sleep(wait.unwrap_or_else(|| client.options().request_timeout()));
    }
}

/// Decodes the catalogue. Decoding errors count as an unreachable store, so that nodes keep their
/// current configuration.
fn decode(body: &[u8]) -> StoreResult {
    match catalogue::decode(body) {
        Ok(stored) => StoreResult::Read(Box::new(stored)),
        Err(error) => {
            spdlog::error!("the stored catalogue cannot be read", kv: { error = error.to_string() });
            StoreResult::Unreachable
        }
    }
}

struct Worker {
    client: Client,
    data_centre: DataCentreName,
    events: Channel<StoreEvent>,
}

impl Worker {
    fn run(&self, jobs: &Receiver<Job>) {
        while let Ok(job) = jobs.recv() {
            match job {
                Job::ReadCatalogue => {
                    self.events
                        .send(StoreEvent::Catalogue(self.read_catalogue()));
                }
                Job::ReadContacts { all } => {
                    if let Some(contacts) = self.read_contacts(all) {
                        self.events.send(StoreEvent::Contacts(contacts));
                    }
                }
                Job::WriteContacts { addresses } => self.write_contacts(&addresses),
            }
        }
    }

    fn read_catalogue(&self) -> StoreResult {
        match self.client.get(catalogue::KEY) {
            Ok(Some(object)) => decode(&object.body),
            Ok(None) => StoreResult::Absent,
            Err(_) => StoreResult::Unreachable,
        }
    }

    fn read_contacts(&self, all: bool) -> Option<Vec<Contacts>> {
        let own = self.read_contact(self.data_centre.clone())?;
        if !all && own.iter().any(|contacts| !contacts.addresses.is_empty()) {
            return Some(own);
        }
        let listed = self.client.list(CONTACTS_PREFIX).ok()?;
        let mut contacts = own;
        for object in listed {
            if let Some(name) = object.key.strip_prefix(CONTACTS_PREFIX)
                && name != self.data_centre
            {
                contacts.extend(self.read_contact(name.into())?);
            }
        }
        Some(contacts)
    }

    fn read_contact(&self, data_centre: DataCentreName) -> Option<Vec<Contacts>> {
        let object = self
            .client
            .get(&format!("{CONTACTS_PREFIX}{data_centre}"))
            .ok()?;
        let Some(object) = object else {
            return Some(Vec::new());
        };
        let addresses = serde_json::from_slice(&object.body).unwrap_or_default();
        Some(vec![Contacts {
            data_centre,
            addresses,
        }])
    }

    /// Writes the contact object. If another node writes it at the same time, the list of either is
    /// acceptable, so a conflict is only logged.
    fn write_contacts(&self, addresses: &[SocketAddr]) {
        let key = format!("{CONTACTS_PREFIX}{}", self.data_centre);
        let Ok(current) = self.client.get(&key) else {
            return;
        };
        let Ok(body) = serde_json::to_vec(addresses) else {
            return;
        };
        let version = current.map_or(0, |object| object.version);
        if let Err(error) = self.client.put(&key, version, &body) {
            spdlog::info!("contact object not written", kv: { error = error.to_string() });
        }
    }
}
