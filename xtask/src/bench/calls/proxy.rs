//! Baseline proxy: round robin, two retries after any failure, no retry budget, no admission
//! queue, no propagation of deadlines and no outlier ejection.

use std::io::BufReader;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::str::FromStr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use gumdrop::Options;

use crate::bench::calls::wire;
use crate::bench::calls::wire::Client;
use crate::bench::calls::wire::Message;
use crate::harness::process;

const MAX_ATTEMPTS: usize = 3;
const FIRST_SERVER_ERROR: u16 = 500;

/// Target, written `SERVICE=IP:PORT`.
#[derive(Clone, Debug)]
pub struct Upstream {
    service: String,
    address: SocketAddr,
}

impl FromStr for Upstream {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let (service, address) = text.split_once('=').ok_or("SERVICE=IP:PORT expected")?;
        let address = address.parse().map_err(|error| format!("{error}"))?;
        let service = service.to_owned();
        Ok(Self { service, address })
    }
}

/// Options of the baseline proxy.
#[derive(Clone, Debug, Options)]
pub struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, required, help = "address to listen on")]
    listen: Option<SocketAddr>,
    #[options(no_short, help = "SERVICE=IP:PORT of a target; may be repeated")]
    upstream: Vec<Upstream>,
    #[options(no_short, default = "1000", help = "time of one attempt")]
    timeout_ms: u64,
}

/// Serves requests until the process ends.
pub fn run(arguments: &Arguments) -> Result<(), String> {
    process::exit_with_harness();
    let address = arguments.listen.ok_or("--listen is missing")?;
    let listener = TcpListener::bind(address).map_err(|error| error.to_string())?;
    let round_robin = Arc::new(AtomicUsize::new(0));
    for stream in listener.incoming() {
        let stream = stream.map_err(|error| error.to_string())?;
        let (arguments, round_robin) = (arguments.clone(), Arc::clone(&round_robin));
        std::thread::spawn(move || serve(&arguments, &round_robin, stream));
    }
    Ok(())
}

fn serve(arguments: &Arguments, round_robin: &AtomicUsize, stream: TcpStream) {
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream);
    let mut clients: Vec<(&Upstream, Client)> = arguments
        .upstream
        .iter()
        .map(|upstream| (upstream, Client::new(upstream.address)))
        .collect();
    let timeout = Duration::from_millis(arguments.timeout_ms);
    while let Ok(Some(message)) = wire::read(&mut reader) {
        let (status, body) = forward(&mut clients, round_robin, &message, timeout);
        if wire::write_answer(&mut writer, status, &body).is_err() {
            return;
        }
    }
}

fn forward(
    clients: &mut [(&Upstream, Client)],
    round_robin: &AtomicUsize,
    message: &Message,
    timeout: Duration,
) -> (u16, Vec<u8>) {
    let service = message.header("host").unwrap_or_default().to_owned();
    let mut matching: Vec<&mut Client> = clients
        .iter_mut()
        .filter(|(upstream, _)| upstream.service == service)
        .map(|(_, client)| client)
        .collect();
    if matching.is_empty() {
        return (404, Vec::new());
    }
    for _ in 0..MAX_ATTEMPTS {
        let index = round_robin.fetch_add(1, Ordering::Relaxed) % matching.len();
        if let Ok(answer) = matching[index].send(&service, &[], &message.body, timeout)
            && answer.status() < FIRST_SERVER_ERROR
        {
            return (answer.status(), answer.body);
        }
    }
    (502, Vec::new())
}
