use super::*;
use crate::model::JobId;

fn cancelled() -> Command {
    Command::JobCancelled(JobId::from("run-1"))
}

fn query(reply: ReplyId) -> Command {
    Command::QueryBlockedJob {
        job: JobId::from("run-1"),
        reply,
    }
}

#[tokio::test]
async fn a_question_gets_the_reply_to_its_id() {
    let (commands, mut queue) = CommandSender::new(1);
    let engine = async {
        let queued = queue.recv().await.unwrap();
        let reply = queued.reply.unwrap();
        assert!(
            matches!(queued.command, Command::QueryBlockedJob { reply: id, .. } if id == reply.id)
        );
        reply.sender.send(Reply::Unavailable).unwrap();
    };
    let (answer, ()) = tokio::join!(commands.request(query), engine);
    assert_eq!(answer, Some(Reply::Unavailable));
}

#[tokio::test]
async fn a_full_queue_refuses_questions_at_once() {
    let (commands, _queue) = CommandSender::new(0);
    for _ in 0..constants::ENGINE_QUEUE_COMMANDS {
        commands.send(cancelled()).await;
    }
    assert_eq!(commands.request(query).await, None);
}

#[tokio::test]
async fn a_question_to_an_engine_that_is_gone_has_no_reply() {
    let (commands, queue) = CommandSender::new(1);
    drop(queue);
    assert_eq!(commands.request(query).await, None);
}
