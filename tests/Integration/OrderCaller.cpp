#include "Integration/OrderCaller.h"

#include "Transport/HttpClient.h"

namespace amaranth::integration {

using Json = nlohmann::json;
using transport::HttpCall;
using transport::HttpClient;

namespace {

constexpr Seconds TicketTimeout{5};

HttpCall makeCall(const std::string &Address, const std::string &Method,
                  const std::string &Path, Milliseconds Timeout) {
  HttpCall Call;
  Call.Address_ = Address;
  Call.Method_ = Method;
  Call.Path_ = Path;
  Call.Deadline_ = SteadyClock::now() + Timeout;
  Call.ProgressTimeout_ = Timeout;
  Call.FreshConnection_ = true;
  return Call;
}

Json parseLeniently(const std::string &Text) {
  return Json::parse(Text, nullptr, false);
}

} // namespace

OrderTicket OrderCaller::requestTicket(const std::string &Host) const {
  HttpClient Client({});
  HttpCall Call = makeCall(Host, "GET", "/v1/entry-hosts", TicketTimeout);
  Call.Headers_.add("Authorization", "Bearer " + Account_ + "-key");
  auto Outcome = Client.call(Call);
  OrderTicket Ticket;
  if (!Outcome.Ok_ || Outcome.Reply_.Status_ != 200)
    return Ticket;
  Json Body = parseLeniently(Outcome.Reply_.Body_);
  Ticket.Text_ = Body.value("ticket", "");
  Ticket.Class_ = Body.value("ticket_class", "");
  Ticket.Home_ = Body.value("ticket_home", "");
  return Ticket;
}

OrderAnswer OrderCaller::place(const std::string &Host,
                               const Order &Placed) const {
  HttpClient Client({});
  HttpCall Call =
      makeCall(Host, "POST", "/v1/services/" + Service_ + "/requests",
               Placed.DisconnectAfter_);
  Call.Headers_.add("Authorization", "Bearer " + Account_ + "-key");
  if (!Placed.Key_.empty())
    Call.Headers_.add("Idempotency-Key", Placed.Key_);
  Call.Headers_.add("Request-Timeout-Ms",
                    std::to_string(Placed.Timeout_.count()));
  Call.Body_ =
      Json{{"call", "place"}, {"body", {{"order_id", Placed.Id_}}}}.dump();
  auto Outcome = Client.call(Call);
  OrderAnswer Answer;
  if (!Outcome.Ok_)
    return Answer;
  Answer.Status_ = Outcome.Reply_.Status_;
  Answer.Body_ = parseLeniently(Outcome.Reply_.Body_);
  if (Answer.Status_ == 200) {
    Answer.Outcome_ = "completed";
    return Answer;
  }
  if (!Answer.Body_.is_object())
    return Answer;
  Answer.Outcome_ = Answer.Body_.value("outcome", "no_reply");
  Answer.RetryWith_ = Answer.Body_.value("retry_with", "");
  return Answer;
}

std::string OrderCaller::lookUpOutcome(const std::string &Host,
                                       const std::string &Key) const {
  HttpClient Client({});
  HttpCall Call =
      makeCall(Host, "GET", "/v1/services/" + Service_ + "/requests/" + Key,
               TicketTimeout);
  Call.Headers_.add("Authorization", "Bearer " + Account_ + "-key");
  auto Outcome = Client.call(Call);
  if (!Outcome.Ok_)
    return "no_reply";
  Json Body = parseLeniently(Outcome.Reply_.Body_);
  return Body.is_object() ? Body.value("outcome", "no_reply") : "no_reply";
}

int placeDirectly(const std::string &Target, const std::string &OrderId,
                  Milliseconds Timeout) {
  HttpClient Client({});
  HttpCall Call = makeCall(Target, "POST", "/v1/calls/place", Timeout);
  Call.Body_ = Json{{"order_id", OrderId}}.dump();
  auto Outcome = Client.call(Call);
  return Outcome.Ok_ ? Outcome.Reply_.Status_ : 0;
}

} // namespace amaranth::integration
