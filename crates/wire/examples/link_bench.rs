//! Measures unary round trips, frames per second and idle pings between two [`Links`] in one
//! process over the loopback interface. Prints one line for each result.
//!
//! `cargo run --release -p wire --example link_bench`

use std::{
    net::SocketAddr,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};
use wire::{Inbound, LinkConfig, Links, Message, RegionSecret, Result};

/// Requests sent before the measurements, to open the connection.
const WARM_UP_REQUESTS: usize = 500;
const ROUND_TRIPS: usize = 10_000;
/// Number of frames for each measurement, divided among its streams.
const FRAMES: usize = 400_000;
const FRAME_BYTES: usize = 64;
const STREAMS: usize = 64;
/// Time for which pings of an idle link are counted.
const IDLE_TIME: Duration = Duration::from_secs(10);
const TIMEOUT: Duration = Duration::from_secs(60);

fn main() -> Result<()> {
    let server = start("server", handle)?;
    let client = start("client", drop)?;
    let peer = server.address();
    (0..WARM_UP_REQUESTS).try_for_each(|_| round_trip(&client, peer).map(drop))?;
    measure_round_trips(&client, peer)?;
    measure_frames(&client, peer, 1)?;
    measure_frames(&client, peer, STREAMS)?;
    let before = client.counters().pings();
    thread::sleep(IDLE_TIME);
    println!("pings of an idle link in {IDLE_TIME:?}: {}", client.counters().pings() - before);
    Ok(())
}

fn start(id: &str, handler: impl Fn(Inbound) + Send + Sync + 'static) -> Result<Links> {
    let secret = RegionSecret::new("secret of the measurement")?;
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    Links::start(LinkConfig::new(id.to_owned(), listen, secret), Arc::new(handler))
}

/// Echoes the body of a message to service `echo`; otherwise sends as many frames as the body states.
fn handle(inbound: Inbound) {
    if inbound.message.service == "echo" {
        let _ = inbound.responder.reply(inbound.message.body);
        return;
    }
    let frames: usize = inbound.message.decode::<u64>().unwrap_or_default() as usize;
    for _ in 0..frames {
        if inbound.responder.send(vec![7; FRAME_BYTES]).is_err() {
            return;
        }
    }
    let _ = inbound.responder.finish();
}

fn round_trip(client: &Links, peer: SocketAddr) -> Result<Duration> {
    let message = Message { service: "echo".to_owned(), body: vec![7; FRAME_BYTES] };
    let started = Instant::now();
    client.request(peer, message, TIMEOUT)?;
    Ok(started.elapsed())
}

fn measure_round_trips(client: &Links, peer: SocketAddr) -> Result<()> {
    let mut times =
        (0..ROUND_TRIPS).map(|_| round_trip(client, peer)).collect::<Result<Vec<_>>>()?;
    times.sort();
    println!("unary round trip, median: {:?}", times[ROUND_TRIPS / 2]);
    println!("unary round trip, 99th percentile: {:?}", times[ROUND_TRIPS * 99 / 100]);
    let total: Duration = times.iter().sum();
    println!("unary round trips a second, one at a time: {:.0}", rate(ROUND_TRIPS, total));
    Ok(())
}

fn measure_frames(client: &Links, peer: SocketAddr, streams: usize) -> Result<()> {
    let frames = (FRAMES / streams) as u64;
    let started = Instant::now();
    thread::scope(|scope| {
        let readers: Vec<_> =
            (0..streams).map(|_| scope.spawn(|| read_stream(client, peer, frames))).collect();
        readers.into_iter().try_for_each(|r| r.join().unwrap_or(Ok(())))
    })?;
    let rate = rate(frames as usize * streams, started.elapsed());
    println!("frames of {FRAME_BYTES} bytes a second, {streams} streams: {rate:.0}");
    Ok(())
}

fn read_stream(client: &Links, peer: SocketAddr, frames: u64) -> Result<()> {
    let mut stream = client.open_stream(peer, Message::encode("frames", &frames)?, TIMEOUT)?;
    while stream.recv(TIMEOUT)?.is_some() {}
    Ok(())
}

/// Events per second.
fn rate(count: usize, time: Duration) -> f64 {
    count as f64 / time.as_secs_f64()
}
