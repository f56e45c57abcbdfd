package dunlinhitch.experiments.modelchecker;

import com.google.common.hash.Hasher;
import java.lang.reflect.Array;
import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;

/**
 * Hashes all state that is reachable from an object, so that a module need not list the fields that
 * its behaviour depends on. Fields of the project's classes are read by reflection. Of the classes
 * of the JDK, only simple values and collections are supported; the hash of an unordered set or map
 * does not depend on iteration order. Lambdas and random generators are not hashed: states that
 * differ only in future random draws are considered equal.
 */
final class StateHasher {
  private static final String PROJECT_PACKAGE_PREFIX = "dunlinhitch.";
  private static final ClassValue<List<Field>> INSTANCE_FIELDS =
      new ClassValue<>() {
        @Override
        protected List<Field> computeValue(Class<?> type) {
          List<Field> fields = new ArrayList<>();
          for (Class<?> c = type; c != Object.class; c = c.getSuperclass()) {
            for (Field field : c.getDeclaredFields()) {
              if (!Modifier.isStatic(field.getModifiers()) && !field.isSynthetic()) {
                field.setAccessible(true);
                fields.add(field);
              }
            }
          }
          return List.copyOf(fields);
        }
      };

  private final UnaryOperator<String> nameMapping;

  private StateHasher(UnaryOperator<String> nameMapping) {
    this.nameMapping = nameMapping;
  }

  /** Returns the digest of a value; every string is first mapped by {@code nameMapping}. */
  static Digest of(Object value, UnaryOperator<String> nameMapping) {
    Hasher hasher = Digest.newHasher();
    new StateHasher(nameMapping).put(hasher, value);
    return Digest.of(hasher);
  }

  private void put(Hasher hasher, Object value) {
    if (value == null) {
      hasher.putByte((byte) 0);
    } else if (value instanceof String text) {
      putText(hasher, 's', nameMapping.apply(text));
    } else if (value instanceof Number || value instanceof Boolean || value instanceof Character) {
      putText(hasher, 'v', value.toString());
    } else if (value instanceof Enum<?> constant) {
      putText(hasher, 'e', constant.name());
    } else if (value instanceof Optional<?> optional) {
      put(hasher, optional.orElse(null));
    } else if (value instanceof Map<?, ?> map) {
      List<Consumer<Hasher>> entries = new ArrayList<>();
      map.forEach(
          (key, mapped) ->
              entries.add(
                  into -> {
                    put(into, key);
                    put(into, mapped);
                  }));
      putElements(hasher, entries, map instanceof LinkedHashMap);
    } else if (value instanceof Collection<?> collection) {
      List<Consumer<Hasher>> elements = new ArrayList<>();
      collection.forEach(element -> elements.add(into -> put(into, element)));
      boolean unordered =
          (collection instanceof Set && !(collection instanceof LinkedHashSet))
              || collection instanceof PriorityQueue;
      putElements(hasher, elements, !unordered);
    } else if (value.getClass().isArray()) {
      hasher.putInt(Array.getLength(value));
      for (int i = 0; i < Array.getLength(value); i++) {
        put(hasher, Array.get(value, i));
      }
    } else if (value.getClass().isHidden() || value instanceof SplittableRandom) {
      hasher.putByte((byte) 1);
    } else if (value.getClass().getName().startsWith(PROJECT_PACKAGE_PREFIX)) {
      putFields(hasher, value);
    } else {
      throw new IllegalArgumentException(
          "cannot hash an object of an unsupported class: " + value.getClass().getName());
    }
  }

  private void putFields(Hasher hasher, Object value) {
    putText(hasher, 'o', value.getClass().getName());
    for (Field field : INSTANCE_FIELDS.get(value.getClass())) {
      try {
        put(hasher, field.get(value));
      } catch (IllegalAccessException e) {
        throw new IllegalStateException(e);
      }
    }
  }

  private static void putText(Hasher hasher, char kind, String text) {
    hasher.putChar(kind).putInt(text.length()).putUnencodedChars(text);
  }

  private void putElements(Hasher hasher, List<Consumer<Hasher>> elements, boolean ordered) {
    hasher.putInt(elements.size());
    if (ordered) {
      elements.forEach(element -> element.accept(hasher));
      return;
    }
    elements.stream()
        .map(
            element -> {
              Hasher elementHasher = Digest.newHasher();
              element.accept(elementHasher);
              return Digest.of(elementHasher);
            })
        .sorted()
        .forEach(digest -> digest.putInto(hasher));
  }
}
