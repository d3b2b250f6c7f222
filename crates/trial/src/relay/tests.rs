//! Tests of `relay.rs`.

use super::*;

async fn echo() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let at = listener.local_addr().unwrap();
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            actix_rt::spawn(async move {
                let mut bytes = [0; 64];
                while let Ok(len) = stream.read(&mut bytes).await {
                    if len == 0 || stream.write_all(&bytes[..len]).await.is_err() {
                        break;
                    }
                }
            });
        }
    });
    at
}

/// A cut link must neither let bytes through nor lose them: trials would test another network than the one intended.
#[actix_rt::test]
async fn cut_link_delays_connection_data_and_reset_closes_both_ends() {
    let links = Links::new(1);
    let target = Rc::new(Cell::new(Some(echo().await)));
    let at = links.tcp("a", "b", target).await.unwrap();
    let mut stream = TcpStream::connect(at).await.unwrap();
    let mut bytes = [0; 3];
    for reverse in [false, true] {
        stream.write_all(b"one").await.unwrap();
        stream.read_exact(&mut bytes).await.unwrap();
        let (from, to) = if reverse { ("b", "a") } else { ("a", "b") };
        links.link(from, to).set(Impairment { cut: true, ..Impairment::default() });
        stream.write_all(b"two").await.unwrap();
        assert!(timeout(Duration::from_millis(80), stream.read_exact(&mut bytes)).await.is_err());
        links.repair_all();
        stream.read_exact(&mut bytes).await.unwrap();
        assert_eq!(&bytes, b"two");
    }
    links.reset("b", "a");
    assert!(!matches!(stream.read(&mut bytes).await, Ok(n) if n > 0));
}

#[actix_rt::test]
async fn datagrams_are_duplicated_lost_and_answered_through_one_relay() {
    let links = Links::new(1);
    let server = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let target = Rc::new(Cell::new(Some(server.local_addr().unwrap())));
    let at = links.udp("a", "b", target).await.unwrap();
    let client = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let mut bytes = [0; 64];
    client.send_to(b"hello", at).await.unwrap();
    let (_, source) = server.recv_from(&mut bytes).await.unwrap();
    server.send_to(b"you", source).await.unwrap();
    assert_eq!(client.recv_from(&mut bytes).await.unwrap().0, 3);
    links.link("a", "b").set(Impairment { duplicate_percent: 100, ..Impairment::default() });
    client.send_to(b"twin", at).await.unwrap();
    for _ in 0..2 {
        assert_eq!(server.recv_from(&mut bytes).await.unwrap().0, 4);
    }
    links.link("a", "b").set(Impairment { cut: true, ..Impairment::default() });
    client.send_to(b"lost", at).await.unwrap();
    assert!(timeout(Duration::from_millis(80), server.recv_from(&mut bytes)).await.is_err());
}
