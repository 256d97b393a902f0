use super::*;
use crate::model::JobId;

fn cancellation() -> Command {
    Command::JobCancelled(JobId::from("run-1"))
}

fn query(reply: ReplyId) -> Command {
    Command::QueryBlockedJob {
        job: JobId::from("run-1"),
        reply,
    }
}

#[tokio::test]
async fn request_receives_the_reply_with_its_id() {
    let (commands, mut queue) = CommandSender::new(1);
    let engine = async {
        let queued = queue.recv().await.unwrap();
        let reply = queued.reply.unwrap();
        assert!(
            matches!(queued.command, Command::QueryBlockedJob { reply: id, .. } if id == reply.id)
        );
        reply.sender.send(Reply::Unavailable).unwrap();
    };
    let (reply, ()) = tokio::join!(commands.request(query), engine);
    assert_eq!(reply, Some(Reply::Unavailable));
}

#[tokio::test]
async fn request_is_refused_at_once_if_the_queue_is_full() {
    let (commands, _queue) = CommandSender::new(0);
    for _ in 0..constants::ENGINE_QUEUE_COMMANDS {
        commands.send(cancellation()).await;
    }
    assert_eq!(commands.request(query).await, None);
}

#[tokio::test]
async fn request_gets_no_reply_if_the_engine_has_ended() {
    let (commands, queue) = CommandSender::new(1);
    drop(queue);
    assert_eq!(commands.request(query).await, None);
}
