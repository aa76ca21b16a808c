//! A relay between two processes whose open connections can go silent, and control members.
#![allow(dead_code)]

use futures_lite::future::block_on;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use topazmount::Executor;
use topazmount::control_process::{ControlHandle, ControlOptions, start};
use topazmount_settings::{ControlSettings, Peer, SourceFiles};
use topazmount_wire::ClusterKey;

/// Forwards connections to an address. Those that were open when it was silenced stay open and carry nothing.
pub struct Relay {
    /// Where it listens.
    pub address: SocketAddr,
    /// Connections that it took.
    opened: Arc<AtomicUsize>,
    /// Connections below this number are silent.
    silent_below: Arc<AtomicUsize>,
}

impl Relay {
    /// Starts one.
    pub fn start(to: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (opened, silent_below) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
        let (count, bound) = (opened.clone(), silent_below.clone());
        std::thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let Ok(far) = TcpStream::connect(to) else { continue };
                let number = count.fetch_add(1, Ordering::SeqCst);
                let (near_back, far_back) = (near.try_clone().unwrap(), far.try_clone().unwrap());
                for (from, to) in [(near, far), (far_back, near_back)] {
                    let bound = bound.clone();
                    std::thread::spawn(move || forward(from, to, number, &bound));
                }
            }
        });
        Relay { address, opened, silent_below }
    }

    /// All connections that are open now carry nothing from now on; new ones work.
    pub fn silence_open(&self) {
        self.silent_below.store(self.opened(), Ordering::SeqCst);
    }

    /// Number of connections so far.
    pub fn opened(&self) -> usize {
        self.opened.load(Ordering::SeqCst)
    }
}

fn forward(mut from: TcpStream, mut to: TcpStream, number: usize, silent_below: &AtomicUsize) {
    let mut buf = [0u8; 4096];
    while let Ok(read) = from.read(&mut buf) {
        // A silent connection swallows bytes and closes alike.
        if number < silent_below.load(Ordering::SeqCst) {
            continue_for_ever();
        }
        if read == 0 || to.write_all(&buf[..read]).is_err() {
            let _ = to.shutdown(std::net::Shutdown::Write);
            return;
        }
    }
}

fn continue_for_ever() -> ! {
    loop {
        std::thread::park();
    }
}

/// An executor with two threads.
pub fn executor() -> Executor {
    let executor: Executor = Arc::new(async_executor::Executor::new());
    for _ in 0..2 {
        let executor = executor.clone();
        std::thread::spawn(move || {
            async_io::block_on(executor.run(futures_lite::future::pending::<()>()));
        });
    }
    executor
}

/// Key of all members.
pub fn key() -> ClusterKey {
    ClusterKey::from_text("test")
}

/// Settings of a member that founds a group of its own, with an empty data folder.
pub fn member_settings(name: &str) -> ControlSettings {
    let folder =
        std::env::temp_dir().join(format!("topazmount-member-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    let address = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    ControlSettings {
        name: address.to_string(),
        internal_address: address,
        data_folder: folder,
        declarations: "none".into(),
        cluster_key_file: "none".into(),
        initial_members: vec![Peer { name: address.to_string(), address }],
    }
}

/// Options of a member with these settings.
pub fn member_options(settings: ControlSettings) -> ControlOptions {
    ControlOptions {
        settings,
        form_group: true,
        source: SourceFiles::default(),
        key: key(),
        rollout: Default::default(),
        heartbeat_interval: topazmount_control::DEFAULT_HEARTBEAT_INTERVAL,
        actions: None,
    }
}

/// A member that founds a group of its own.
pub fn member(executor: &Executor, name: &str) -> (ControlHandle, SocketAddr) {
    let settings = member_settings(name);
    let address = settings.internal_address;
    (block_on(start(executor, member_options(settings))).unwrap(), address)
}
