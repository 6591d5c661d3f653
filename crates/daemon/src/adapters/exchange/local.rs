//! Exchanges within the process, where this daemon is itself the home.

use crate::app::home::HomeService;
use crate::app::home::link::{FrontLink, LinkClosed};
use crate::domain::exchange::{FrontMessage, HomeMessage, OpenExchange};
use crate::ports::exchange::{ExchangeLost, HomeExchange};
use async_trait::async_trait;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

/// Messages that may be under way in one direction.
const CHANNEL_MESSAGES: usize = 8;

/// The home's end.
struct LocalLink {
    from_front: mpsc::Receiver<FrontMessage>,
    to_front: mpsc::Sender<HomeMessage>,
}

#[async_trait]
impl FrontLink for LocalLink {
    async fn receive(&mut self) -> Result<FrontMessage, LinkClosed> {
        self.from_front.recv().await.ok_or(LinkClosed)
    }

    async fn send(&mut self, message: HomeMessage) -> Result<(), LinkClosed> {
        self.to_front.send(message).await.map_err(|_| LinkClosed)
    }
}

/// The front's end.
struct LocalExchange {
    to_home: mpsc::Sender<FrontMessage>,
    from_home: mpsc::Receiver<HomeMessage>,
}

#[async_trait]
impl HomeExchange for LocalExchange {
    async fn send(&mut self, message: FrontMessage) -> Result<(), ExchangeLost> {
        let sent = self.to_home.send(message).await;
        sent.map_err(|_| ExchangeLost::Closed)
    }

    async fn receive(&mut self) -> Result<HomeMessage, ExchangeLost> {
        self.from_home.recv().await.ok_or(ExchangeLost::Closed)
    }

    async fn release(self: Box<Self>) {
        let _ = self.to_home.send(FrontMessage::Release).await;
    }
}

/// Begins an exchange with the home in this process.
///
/// It is not refused while the daemon leaves: the daemon's own callers may still
/// have requests in progress.
pub async fn open_local(home: &HomeService, open: OpenExchange) -> Box<dyn HomeExchange> {
    let (to_home, from_front) = mpsc::channel(CHANNEL_MESSAGES);
    let (to_front, from_home) = mpsc::channel(CHANNEL_MESSAGES);
    let home = home.clone();
    let link = LocalLink {
        from_front,
        to_front,
    };
    tokio::spawn(async move { home.serve(link, CancellationToken::new()).await });
    // The channel is empty, so that this never waits; a closed one shows on first use.
    let _ = to_home.send(FrontMessage::Open(open)).await;
    Box::new(LocalExchange { to_home, from_home })
}
