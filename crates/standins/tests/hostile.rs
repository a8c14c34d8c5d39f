//! Robustness of the peer listener against random bytes, which no peer sends.

use std::time::Duration;

use {
    rand::{RngExt, SeedableRng, rngs::StdRng},
    standins::fleet::{FleetSettings, NORTH_KEY, TestFleet},
    tokio::{io::AsyncWriteExt, net::TcpStream},
};

const SEED: u64 = 20_261_204;
const CONNECTIONS: usize = 200;

#[tokio::test]
async fn random_bytes_at_peer_listener_do_not_stop_service()
-> Result<(), Box<dyn std::error::Error>> {
    println!("seed {SEED}");
    let mut random = StdRng::seed_from_u64(SEED);
    let mut fleet = TestFleet::open(FleetSettings {
        zones: vec!["a".to_owned()],
        hosts_per_zone: 2,
        ..Default::default()
    })
    .await?;
    for _ in 0..CONNECTIONS {
        let mut stream = TcpStream::connect(fleet.hosts[0].addresses().peer).await?;
        let length = random.random_range(1..4096);
        let bytes: Vec<u8> = (0..length).map(|_| random.random()).collect();
        // The host may close the connection before all bytes are written.
        let write = stream.write_all(&bytes);
        let _ = tokio::time::timeout(Duration::from_secs(5), write).await?;
    }
    for host in 0..2 {
        let served = fleet.caller(host, NORTH_KEY)?.get("/lookup/after").await?;
        assert_eq!(served.status, 200);
        assert!(fleet.hosts[host].is_running());
    }
    fleet.close().await;
    Ok(())
}
