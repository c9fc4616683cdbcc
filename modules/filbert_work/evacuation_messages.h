#pragma once

#include "filbert_messages/filbert_messages.h"

#include <google/protobuf/message.h>
#include <google/protobuf/unknown_field_set.h>
#include <optional>
#include <set>
#include <string>

namespace filbert {

/** @file
    Access to the fields of messages about evacuations.

    work.proto defines these fields. Where the generated code is older than that, the same bytes are
    read and written as unknown fields, so that logs, snapshots and messages do not depend on it.
*/

/** An operator's request that nothing more starts in a failure domain, or its withdrawal. */
struct evacuation_order
{
    std::string failureDomain;
    bool isWithdrawn = false;
};

/** The failure domain of an evacuation is not known. */
constexpr auto answerNoDomain = static_cast<messages::work_answer_kind>(13);

/** Field numbers in work.proto. */
namespace evacuation_fields {

constexpr int ofCommand = 12;
constexpr int ofRequest = 6;
constexpr int ofImage = 4;
constexpr int failureDomain = 1;
constexpr int isWithdrawn = 2;

} // namespace evacuation_fields

template <typename Message>
constexpr int evacuationField()
{
    return std::is_same_v<Message, messages::work_request> ? evacuation_fields::ofRequest
                                                           : evacuation_fields::ofCommand;
}

template <typename Message>
google::protobuf::UnknownFieldSet *unknownFieldsOf(Message *message)
{
    return message->GetReflection()->MutableUnknownFields(message);
}

/** Sets the evacuation of a command or request. */
template <typename Message>
void writeEvacuation(const evacuation_order &order, Message *message)
{
    if constexpr (requires { message->mutable_evacuate(); }) {
        auto *body = message->mutable_evacuate();
        body->set_failure_domain(order.failureDomain);
        body->set_is_withdrawn(order.isWithdrawn);
    } else {
        google::protobuf::UnknownFieldSet body;
        body.AddLengthDelimited(evacuation_fields::failureDomain, order.failureDomain);
        if (order.isWithdrawn) {
            body.AddVarint(evacuation_fields::isWithdrawn, 1);
        }
        body.SerializeToString(
            unknownFieldsOf(message)->AddLengthDelimited(evacuationField<Message>()));
    }
}

/** @return the evacuation of a command or request, or nothing if it holds none */
template <typename Message>
std::optional<evacuation_order> readEvacuation(const Message &message)
{
    if constexpr (requires { message.has_evacuate(); }) {
        return message.has_evacuate() ? std::optional {evacuation_order {
                   message.evacuate().failure_domain(), message.evacuate().is_withdrawn()}}
                                      : std::nullopt;
    } else {
        const auto &fields = message.GetReflection()->GetUnknownFields(message);
        for (int i = 0; i < fields.field_count(); ++i) {
            const auto &field = fields.field(i);
            google::protobuf::UnknownFieldSet body;
            if (field.number() != evacuationField<Message>()
                || field.type() != google::protobuf::UnknownField::TYPE_LENGTH_DELIMITED
                || !body.ParseFromString(field.length_delimited())) {
                continue;
            }
            evacuation_order order;
            for (int k = 0; k < body.field_count(); ++k) {
                const auto &part = body.field(k);
                const bool isText =
                    part.type() == google::protobuf::UnknownField::TYPE_LENGTH_DELIMITED;
                if (part.number() == evacuation_fields::failureDomain && isText) {
                    order.failureDomain = part.length_delimited();
                } else if (part.number() == evacuation_fields::isWithdrawn && !isText) {
                    order.isWithdrawn = part.varint() != 0;
                }
            }
            return order;
        }
        return std::nullopt;
    }
}

/** Adds the evacuated failure domains to a snapshot. */
template <typename Image>
void writeEvacuatedDomains(const std::set<std::string> &domains, Image *image)
{
    for (const auto &domain : domains) {
        if constexpr (requires { image->add_evacuated_domains(domain); }) {
            image->add_evacuated_domains(domain);
        } else {
            unknownFieldsOf(image)->AddLengthDelimited(evacuation_fields::ofImage, domain);
        }
    }
}

/** @return the evacuated failure domains in a snapshot */
template <typename Image>
std::set<std::string> readEvacuatedDomains(const Image &image)
{
    if constexpr (requires { image.evacuated_domains(); }) {
        return {image.evacuated_domains().begin(), image.evacuated_domains().end()};
    } else {
        std::set<std::string> domains;
        const auto &fields = image.GetReflection()->GetUnknownFields(image);
        for (int i = 0; i < fields.field_count(); ++i) {
            const auto &field = fields.field(i);
            if (field.number() == evacuation_fields::ofImage
                && field.type() == google::protobuf::UnknownField::TYPE_LENGTH_DELIMITED) {
                domains.insert(field.length_delimited());
            }
        }
        return domains;
    }
}

} // namespace filbert
