/// \file
/// Reads one HTTP message in steps.
#pragma once

#include "core/payload.h"
#include "core/text.h"
#include "net/asio.h"
#include "net/response_head.h"

#include <algorithm>
#include <exception>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace mimosacart {

/// Size limits of a message that is read.
struct MessageLimits {
  /// Limit on the header section, on the trailer section and on each line of a
  /// chunked body.
  std::size_t HeaderBytes = 0;
  std::size_t BodyBytes = 0;
  /// Limits the memory of all messages; may be null.
  std::shared_ptr<MemoryBudget> Memory;
};

/// Parses a request (\p IsRequest) or a response from the bytes that its owner
/// reads.
///
/// Beast throws on some messages, for example on a field of more than 65,533
/// bytes. Its own asynchronous reads would pass that on to the event loop, so
/// this class calls the parser itself and turns exceptions into errors.
template <bool IsRequest> class MessageReader {
public:
  /// The reader takes its bytes from \p Buffer, which keeps those that follow
  /// the message. A message without a body (\p HasNoBody), such as the response
  /// to a HEAD request, ends with its header whatever length it declares.
  MessageReader(beast::flat_buffer &Buffer, const MessageLimits &Limits,
                bool HasNoBody = false)
      : Buffer(Buffer), Limits(Limits), Reserved(Limits.Memory) {
    constexpr std::size_t MaxHeaderLimit = 64U << 20U;
    Parser.header_limit(static_cast<std::uint32_t>(
        std::min(Limits.HeaderBytes, MaxHeaderLimit)));
    Parser.body_limit(maxBodyBytes());
    Parser.skip(HasNoBody);
  }

  /// Returns space in the buffer for the next read.
  asio::mutable_buffer prepare() { return Buffer.prepare(nextReadBytes()); }

  /// Parses after \p Bytes have been read into the space from prepare().
  std::optional<MessageError> parse(std::size_t Bytes) {
    Buffer.commit(Bytes);
    return guarded([this] { return parseBuffer(); });
  }

  /// Parses the end of the connection, which ends some responses.
  std::optional<MessageError> parseEnd() {
    return guarded([this]() -> std::optional<MessageError> {
      beast::error_code Error;
      if (Parser.got_some())
        Parser.put_eof(Error);
      if (Error || !Parser.is_done())
        return MessageError{NetError::Broken,
                            "the connection ended within the message"};
      return std::nullopt;
    });
  }

  /// Lets a shorter message end this one while it is being read. \p Hook must
  /// destroy the reader.
  void onReclaim(std::function<void()> Hook) {
    Reserved.onReclaim(std::move(Hook));
  }

  bool isDone() const { return Parser.is_done(); }
  /// The message; its fields may include those of a trailer section.
  const auto &message() const { return Parser.get(); }
  /// Whether the connection may be used for further messages.
  bool keepAlive() const { return KeepAlive; }
  /// Returns the fields of the header section. Those of a trailer section are
  /// dropped, because they must not count as header fields (RFC 9110, section
  /// 6.5.1).
  std::vector<HeaderField> takeFields() { return std::move(Fields); }
  /// Returns the body, for which the memory of the message stays reserved.
  Payload takeBody() {
    Reserved.onReclaim({});
    std::string Body = std::move(Parser.get().body());
    // Fits, since the buffer no longer counts.
    (void)Reserved.resize(Body.capacity() + HeaderCost);
    return {std::move(Body), std::move(Reserved)};
  }

private:
  static constexpr unsigned HttpVersion11 = 11;
  static constexpr std::size_t HeaderReadBytes = 4U << 10U;
  static constexpr std::size_t ChunkReadBytes = 16U << 10U;
  static constexpr std::size_t BodyReadBytes = 64U << 10U;
  /// Memory of a header field besides its bytes: the parser's copy and ours.
  static constexpr std::size_t FieldOverheadBytes = 256;

  /// Few bytes beyond the end of the message are read, since they are not
  /// counted.
  std::size_t nextReadBytes() {
    if (!Parser.is_header_done())
      return HeaderReadBytes;
    const auto Remaining = Parser.content_length_remaining();
    if (!Remaining)
      return ChunkReadBytes;
    return static_cast<std::size_t>(
        std::clamp<std::uint64_t>(*Remaining, HeaderReadBytes, BodyReadBytes));
  }

  template <typename Step>
  std::optional<MessageError> guarded(const Step &Run) {
    try {
      return Run();
    } catch (const std::exception &Thrown) {
      return MessageError{NetError::Malformed, Thrown.what()};
    }
  }

  std::optional<MessageError> parseBuffer() {
    while (!Parser.is_done() && Buffer.size() > 0) {
      const bool HadHeader = Parser.is_header_done();
      if (!reserveMemory())
        return noMemory();
      if (auto Invalid = checkHead())
        return Invalid;
      beast::error_code Error;
      Buffer.consume(Parser.put(Buffer.data(), Error));
      if (Error == http::error::need_more)
        return checkUnparsed();
      if (Error)
        return toMessageError(Error);
      if (HadHeader || !Parser.is_header_done())
        continue;
      if (auto Invalid = onHeader())
        return Invalid;
    }
    return std::nullopt;
  }

  /// Checks the head of a response once it is complete, and before the parser
  /// takes it out of the buffer.
  std::optional<MessageError> checkHead() {
    if (IsRequest || HeadChecked)
      return std::nullopt;
    constexpr std::string_view HeadEnd = "\r\n\r\n";
    const std::string_view Bytes(
        static_cast<const char *>(Buffer.data().data()), Buffer.size());
    const std::size_t End = Bytes.find(HeadEnd);
    if (End == Bytes.npos)
      return std::nullopt;
    HeadChecked = true;
    return checkResponseHead(Bytes.substr(0, End + HeadEnd.size()));
  }

  /// The parser limits neither trailers nor the lines of a chunked body.
  std::optional<MessageError> checkUnparsed() const {
    if (!Parser.is_header_done() || Buffer.size() <= Limits.HeaderBytes)
      return std::nullopt;
    return MessageError{NetError::HeaderTooLarge,
                        "a trailer or a line of a chunked body is too long"};
  }

  /// Reserves the memory for what the buffer may add to the message.
  bool reserveMemory() {
    if (!Parser.is_header_done())
      return Reserved.resize(Buffer.capacity());
    std::string &Body = Parser.get().body();
    const std::size_t Others = HeaderCost + Buffer.capacity();
    const std::size_t Needed = Body.size() + Buffer.size();
    // A body of known length has its memory; bytes beyond it are of the next
    // message.
    if (!Parser.content_length() && Needed > Body.capacity()) {
      const std::size_t Grown = std::max(Needed, 2 * Body.capacity());
      // Both copies exist while the body grows.
      if (!Reserved.resize(Others + Grown + Body.capacity()))
        return false;
      Body.reserve(Grown);
    }
    return Reserved.resize(Others + Body.capacity());
  }

  static MessageError noMemory() {
    return {NetError::NoMemory, "other messages hold the memory"};
  }

  std::optional<MessageError> onHeader() {
    Fields = copyFields(Parser.get());
    KeepAlive = Parser.get().keep_alive();
    for (const HeaderField &Field : Fields)
      HeaderCost += FieldOverheadBytes + Field.Name.size() + Field.Value.size();
    if (auto Invalid = checkTransferEncoding())
      return Invalid;
    if (!Reserved.resize(HeaderCost + Buffer.capacity()))
      return noMemory();
    if (Parser.is_done())
      return std::nullopt;
    return reserveBody();
  }

  /// Beast takes a request whose transfer codings do not end in `chunked` for
  /// one without a body, and its body for the next request. Other codings than
  /// `chunked` are not decoded here, so that bodies would be passed on changed.
  std::optional<MessageError> checkTransferEncoding() const {
    const auto IsTransferEncoding = [](const HeaderField &Field) {
      return equalsIgnoringCase(Field.Name, "Transfer-Encoding");
    };
    const auto Found =
        std::find_if(Fields.begin(), Fields.end(), IsTransferEncoding);
    if (Found == Fields.end())
      return std::nullopt;
    const bool IsHttp11 = Parser.get().version() == HttpVersion11;
    const bool IsOnlyChunked =
        equalsIgnoringCase(Found->Value, "chunked") &&
        std::count_if(Fields.begin(), Fields.end(), IsTransferEncoding) == 1;
    if (IsHttp11 && IsOnlyChunked)
      return std::nullopt;
    return MessageError{NetError::Malformed, "unsupported Transfer-Encoding"};
  }

  /// Reserves the memory for a body whose length is known.
  std::optional<MessageError> reserveBody() {
    const auto Length = Parser.content_length();
    if (!Length)
      return std::nullopt;
    // Beast 1.74 does not check the declared length of a response.
    if (*Length > maxBodyBytes())
      return MessageError{NetError::BodyTooLarge,
                          "the declared length exceeds the limit"};
    if (!Reserved.resize(HeaderCost + Buffer.capacity() + *Length))
      return noMemory();
    Parser.get().body().reserve(*Length);
    return std::nullopt;
  }

  std::size_t maxBodyBytes() const {
    return Limits.Memory
               ? std::min(Limits.BodyBytes, Limits.Memory->largestMessage())
               : Limits.BodyBytes;
  }

  static MessageError toMessageError(const beast::error_code &Error) {
    if (Error == http::error::header_limit)
      return {NetError::HeaderTooLarge, Error.message()};
    if (Error == http::error::body_limit)
      return {NetError::BodyTooLarge, Error.message()};
    return {NetError::Malformed, Error.message()};
  }

  beast::flat_buffer &Buffer;
  const MessageLimits Limits;
  http::parser<IsRequest, http::string_body> Parser;
  std::vector<HeaderField> Fields;
  bool KeepAlive = false;
  bool HeadChecked = false;
  MemoryReservation Reserved;
  /// Memory of the header section in bytes.
  std::size_t HeaderCost = 0;
};

} // namespace mimosacart
