//! What has ended while a post is repeated is told with it, against a platform that says no at first.
use super::*;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, LocalSet};

fn notice(id: u64) -> Notice {
    Notice { id, trace: format!("n-{id}"), ending: Ending::GivenUp }
}

/// The traces in the next post on a connection.
async fn read_post(reader: &mut BufReader<TcpStream>) -> Vec<String> {
    let mut length = 0;
    loop {
        let mut line = String::new();
        assert!(reader.read_line(&mut line).await.unwrap() > 0, "a post");
        let Some((name, value)) = line.trim_end().split_once(": ") else {
            if line.trim().is_empty() {
                break;
            }
            continue;
        };
        if name.eq_ignore_ascii_case("content-length") {
            length = value.parse().unwrap();
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).await.unwrap();
    let told = |line: &str| serde_json::from_str::<serde_json::Value>(line).unwrap()["message"].clone();
    String::from_utf8(body).unwrap().lines().map(|l| told(l).as_str().unwrap().to_string()).collect()
}

async fn say(reader: &mut BufReader<TcpStream>, status: &str) {
    let answer = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n");
    reader.get_mut().write_all(answer.as_bytes()).await.unwrap();
}

/// Plays the platform: each post is answered with the next of `answers`, and before the first answer `later` end. Returns
/// the posts and what the core heard.
async fn play(first: Vec<Notice>, later: Vec<Notice>, answers: &[&str]) -> (Vec<Vec<String>>, Vec<u64>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (_discovery, place) = watch::channel(listener.local_addr().unwrap());
    let (end, ending) = mpsc::unbounded_channel();
    let (core, mut heard) = mpsc::channel(8);
    first.into_iter().for_each(|n| assert!(end.send(n).is_ok()));
    let running = spawn_local(run(Rc::new(machine::Real), place, ending, core));
    let mut posts = Vec::new();
    let mut later = Some(later);
    let mut link: Option<BufReader<TcpStream>> = None;
    for answer in answers {
        let mut reader = match link.take() {
            Some(kept) => kept,
            None => BufReader::new(listener.accept().await.unwrap().0),
        };
        posts.push(read_post(&mut reader).await);
        later.take().into_iter().flatten().for_each(|n| assert!(end.send(n).is_ok()));
        say(&mut reader, answer).await;
        link = Some(reader);
    }
    drop(end);
    timeout(Duration::from_secs(10), running).await.expect("no further post").unwrap();
    let mut told = Vec::new();
    while let Some(input) = heard.recv().await {
        let Input::Noticed(ids) = input else { panic!("only notices are told") };
        told.extend(ids);
    }
    (posts, told)
}

#[tokio::test]
async fn what_ends_while_a_post_is_repeated_is_told_with_it() {
    let run = async {
        let played = play(vec![notice(1)], vec![notice(2), notice(3)], &["503 No", "204 Yes"]).await;
        let posts = [vec!["n-1"], vec!["n-1", "n-2", "n-3"]];
        assert_eq!(played.0, posts);
        assert_eq!(played.1, [1, 2, 3]);
    };
    LocalSet::new().run_until(run).await;
}

#[tokio::test]
async fn no_post_grows_beyond_the_most_that_one_may_hold() {
    let run = async {
        let later = (2..=BATCH as u64 + 3).map(notice).collect();
        let (posts, told) = play(vec![notice(1)], later, &["503 No", "204 Yes", "204 Yes"]).await;
        assert_eq!(posts.iter().map(Vec::len).collect::<Vec<_>>(), [1, BATCH, 3]);
        assert_eq!(told, (1..=BATCH as u64 + 3).collect::<Vec<_>>());
    };
    LocalSet::new().run_until(run).await;
}

#[tokio::test]
async fn one_that_cannot_be_read_keeps_none_of_those_that_end_meanwhile() {
    let run = async {
        let first = vec![notice(1), notice(2)];
        let answers = ["400 No", "400 No", "204 Yes", "204 Yes"];
        let (posts, told) = play(first, vec![notice(3)], &answers).await;
        assert_eq!(posts, [vec!["n-1", "n-2"], vec!["n-1"], vec!["n-2"], vec!["n-3"]]);
        assert_eq!(told, [1, 2, 3]);
    };
    LocalSet::new().run_until(run).await;
}
