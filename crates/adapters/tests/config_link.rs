//! Questions about the configuration over loopback: answers, peers that are dead, frozen or of another version.

#![allow(clippy::expect_used, clippy::panic, reason = "tests panic on failure")]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rosemaryscale_adapters::config_link::{self, ConfigServer};
use rosemaryscale_adapters::log::DroppedLines;
use rosemaryscale_adapters::metrics_registry;
use rosemaryscale_domain::config_source::PeerStatement;
use rosemaryscale_ports::config_link::{
    ConfigAnswer, ConfigLinkError, ConfigPeers, ConfigQuestion, InboundQuestion,
};
use rosemaryscale_ports::prelude::*;
use rosemaryscale_standins::ThinLink;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const TEXT: &str = r#"{"version": 7, "tenants": [{"name": "w", "api_keys": ["k-\"secret\""]}]}"#;

async fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    listener.local_addr().expect("bound")
}

fn peers() -> ConfigPeers {
    let (metrics, _, _) = metrics_registry::start(DroppedLines::default());
    config_link::start(metrics).0
}

fn question(version: u64) -> ConfigQuestion {
    ConfigQuestion {
        from: "one".into(),
        version,
    }
}

/// Answers every question with version 7, and with its text where it is newer.
async fn answer_questions(questions: mpsc::Receiver<InboundQuestion>) {
    answer_with(TEXT.into(), questions).await;
}

async fn answer_with(text: Arc<str>, mut questions: mpsc::Receiver<InboundQuestion>) {
    while let Some(InboundQuestion { question, reply }) = questions.recv().await {
        let _ = reply.send(ConfigAnswer {
            statement: PeerStatement {
                version: 7,
                confirmed_age_ms: Some(250),
            },
            text: (question.version < 7).then(|| Arc::clone(&text)),
        });
    }
}

/// Guards against a text that is changed on its way, one that is sent again although it is known, and a server
/// whose stop waits for idle connections of peers.
#[tokio::test]
async fn a_peer_answers_with_the_text_of_a_newer_version() {
    let address = free_address().await;
    let (inbound, questions) = mpsc::channel(8);
    let answers = tokio::spawn(answer_questions(questions));
    let server = ConfigServer::start(address, inbound).await;
    let server = server.expect("the server starts");
    let peers = peers();
    for version in [0, 6, 7] {
        let answer = peers.ask(address, question(version)).await;
        let answer = answer.expect("an answer");
        assert_eq!(answer.statement.version, 7);
        assert_eq!(answer.statement.confirmed_age_ms, Some(250));
        assert_eq!(answer.text.as_deref(), (version < 7).then_some(TEXT));
        assert!(!format!("{answer:?}").contains("secret"));
    }
    let stopped = tokio::time::timeout(Duration::from_secs(5), server.stop()).await;
    stopped.expect("the server stops");
    answers.await.expect("no panic");
    let error = peers.ask(address, question(7)).await;
    assert_eq!(error, Err(ConfigLinkError::Unreachable { address }));
}

/// Guards against a daemon that waits for a dead or frozen peer, and against an error that quotes the answer of
/// a peer of another version of the program.
#[tokio::test]
async fn useless_peers_are_given_up_soon() {
    let peers = peers();
    let dead = free_address().await;
    let frozen = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let frozen_address = frozen.local_addr().expect("bound");
    let odd = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let odd_address = odd.local_addr().expect("bound");
    let odd = tokio::spawn(async move {
        let (mut stream, _) = odd.accept().await.expect("a connection");
        let _ = stream.read(&mut [0; 4_096]).await;
        let body = r#"{"jsonrpc":"2.0","id":0,"result":{"version":"k-secret"}}"#;
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
        let _ = stream.write_all(format!("{head}{body}").as_bytes()).await;
        let _ = stream.read(&mut [0; 4_096]).await;
    });
    let began = Instant::now();
    let error = peers.ask(dead, question(0)).await.expect_err("it is dead");
    assert_eq!(error, ConfigLinkError::Unreachable { address: dead });
    let error = peers.ask(frozen_address, question(0)).await;
    let timed_out = ConfigLinkError::TimedOut {
        address: frozen_address,
    };
    assert_eq!(error, Err(timed_out));
    let error = peers.ask(odd_address, question(0)).await;
    let error = error.expect_err("the answer is unusable");
    assert!(!error.to_string().contains("secret"), "{error}");
    assert_eq!(
        error,
        ConfigLinkError::Unusable {
            address: odd_address
        }
    );
    assert!(began.elapsed() < Duration::from_secs(2), "{began:?}");
    drop(peers);
    odd.await.expect("no panic");
}

/// Guards against a peer whose answer is given up, again and again, because its text takes longer on a thin link
/// than an answer without text; and against one that is waited for after its answer has stopped.
#[tokio::test]
async fn a_large_text_of_a_peer_arrives_over_a_thin_link() {
    const TEXT_BYTES: usize = 1 << 20;
    const KBIT_PER_S: u64 = 10_000;
    let text: Arc<str> = "k".repeat(TEXT_BYTES).into();
    let address = free_address().await;
    let (inbound, questions) = mpsc::channel(8);
    let answers = tokio::spawn(answer_with(Arc::clone(&text), questions));
    let server = ConfigServer::start(address, inbound).await;
    let server = server.expect("the server starts");
    let link = ThinLink::start(address, KBIT_PER_S).await;
    let link = link.expect("a free port");
    let peers = peers();
    let answer = peers.ask(link.address(), question(6)).await;
    let answer = answer.expect("an answer");
    assert!(answer.text == Some(text), "the text is whole");
    let carried_before = link.carried_bytes();
    let asked = tokio::spawn({
        let (peers, address) = (peers.clone(), link.address());
        async move { peers.ask(address, question(6)).await }
    });
    while link.carried_bytes() < carried_before + 100_000 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    link.stop_replies();
    let stopped_at = Instant::now();
    let error = asked.await.expect("no panic").expect_err("it has stopped");
    assert!(
        stopped_at.elapsed() < Duration::from_secs(2),
        "{stopped_at:?}"
    );
    assert_eq!(
        error,
        ConfigLinkError::TimedOut {
            address: link.address()
        }
    );
    link.stop().await;
    server.stop().await;
    drop(peers);
    answers.await.expect("no panic");
}
