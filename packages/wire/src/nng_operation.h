// One asynchronous nng operation with its completion on an io_context.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <functional>
#include <memory>
#include <nng/nng.h>
#include <utility>

namespace jasminecroft::detail {

struct message_deleter {
  void operator()(nng_msg *Message) const { nng_msg_free(Message); }
};
using message_ptr = std::unique_ptr<nng_msg, message_deleter>;

/// An asynchronous nng operation whose completion is posted to the io_context.
/// The completion runs only while Owner lives.
class posted_aio {
public:
  posted_aio(boost::asio::io_context &Context, std::weak_ptr<void> Owner,
             std::function<void()> Done)
      : Context(Context), Owner(std::move(Owner)), Done(std::move(Done)) {
    if (nng_aio_alloc(&Aio, &posted_aio::onComplete, this) != 0)
      Aio = nullptr;
  }
  // Waits for a completion that runs on one of nng's threads.
  ~posted_aio() {
    if (!Aio)
      return;
    nng_aio_stop(Aio);
    if (nng_msg *Left = nng_aio_get_msg(Aio))
      nng_msg_free(Left);
    nng_aio_free(Aio);
  }
  posted_aio(const posted_aio &) = delete;
  posted_aio &operator=(const posted_aio &) = delete;

  nng_aio *get() const { return Aio; }

private:
  static void onComplete(void *Argument) {
    posted_aio &Self = *static_cast<posted_aio *>(Argument);
    boost::asio::post(Self.Context, [Owner = Self.Owner, Done = Self.Done] {
      if (std::shared_ptr<void> Alive = Owner.lock())
        Done();
    });
  }

  boost::asio::io_context &Context;
  std::weak_ptr<void> Owner;
  std::function<void()> Done;
  nng_aio *Aio = nullptr;
};

} // namespace jasminecroft::detail
