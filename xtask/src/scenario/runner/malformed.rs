//! Sends bytes that are not a valid message to a node.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::net::UdpSocket;
use std::time::Duration;

use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::errors::Error;
use crate::errors::Result;
use crate::harness::node::NodeSpec;
use crate::scenario::model::BytesContent;
use crate::scenario::model::BytesStep;
use crate::scenario::model::Port;

/// Maximum size of a random message; datagrams between nodes are not larger.
const MAX_MESSAGE_BYTES: usize = 1_200;
/// Interval between datagrams; a faster burst would overflow the receive buffer of the socket.
const DATAGRAM_INTERVAL: Duration = Duration::from_millis(1);
/// Time for the node to answer or to close the connection.
const READ_TIMEOUT: Duration = Duration::from_millis(20);

/// Sends the bytes of a step to a node. Over TCP, failed writes and reads are ignored, since the
/// node may close the connection at any time.
///
/// # Errors
/// [`Error::Resource`] if connecting or sending a datagram fails.
pub fn send(node: &NodeSpec, step: &BytesStep, seed: u64) -> Result<()> {
    let mut random = StdRng::seed_from_u64(seed);
    let messages: Vec<Vec<u8>> = match &step.content {
        BytesContent::Text(text) => vec![text.replace("\\r\\n", "\r\n").into_bytes()],
        BytesContent::Random(count) => (0..*count).map(|_| random_message(&mut random)).collect(),
    };
    let address = match step.port {
        Port::Caller => node.caller_address,
        Port::PeerTcp | Port::PeerUdp => node.peer_address,
        Port::Operator => node.operator_address,
        Port::Local => node.local_address,
    };
    let failed = |error| Error::resource(address.to_string(), error);
    if step.port == Port::PeerUdp {
        let socket = UdpSocket::bind("127.0.0.1:0").map_err(failed)?;
        for message in messages {
            socket.send_to(&message, address).map_err(failed)?;
            std::thread::sleep(DATAGRAM_INTERVAL);
        }
        return Ok(());
    }
    messages
        .iter()
        .try_for_each(|message| send_tcp(address, message).map_err(failed))
}

fn random_message(random: &mut StdRng) -> Vec<u8> {
    let mut bytes = vec![0; random.random_range(1..=MAX_MESSAGE_BYTES)];
    random.fill_bytes(&mut bytes);
    bytes
}

fn send_tcp(address: SocketAddr, message: &[u8]) -> std::io::Result<()> {
    let mut connection = TcpStream::connect(address)?;
    connection.set_read_timeout(Some(READ_TIMEOUT))?;
    let _ = connection.write_all(message);
    let _ = connection.read(&mut [0; 64]);
    Ok(())
}
