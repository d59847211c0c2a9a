package manager

import (
	"maps"
	"slices"

	"saffronbend/internal/micros"
	"saffronbend/wire"
)

// imageCache models the images on a machine's disk, by name. It keeps the most recently used images that fit.
type imageCache map[string]*cachedImage

type cachedImage struct {
	sizeGB   float64
	lastUsed micros.Timestamp
	ready    bool // if false, it is being fetched
}

// ready reports whether an image is completely fetched.
func (cache imageCache) ready(name string) bool {
	image := cache[name]
	return image != nil && image.ready
}

// use records that a task uses an image or waits for it to be fetched, and evicts the images for which the disk has no
// space left. If capacityGB is 0, the capacity is unknown and nothing is evicted.
func (cache imageCache) use(now micros.Timestamp, spec *wire.Job, ready bool, capacityGB float64) {
	image := cache[spec.Image]
	if image == nil {
		image = &cachedImage{}
		cache[spec.Image] = image
	}
	image.sizeGB, image.lastUsed = spec.ImageGB, now
	image.ready = image.ready || ready
	if capacityGB == 0 {
		return
	}
	for {
		totalGB, oldest := cache.leastRecentlyUsed(now)
		if totalGB <= capacityGB || oldest == "" {
			return
		}
		delete(cache, oldest)
	}
}

// leastRecentlyUsed returns the total size of all images and the name of the one to evict first, which is ready and was
// not used at the current time; empty: there is none.
func (cache imageCache) leastRecentlyUsed(now micros.Timestamp) (totalGB float64, oldest string) {
	for name, image := range cache {
		totalGB += image.sizeGB
		if image.lastUsed == now || !image.ready {
			continue
		}
		if oldest == "" || image.lastUsed < cache[oldest].lastUsed ||
			image.lastUsed == cache[oldest].lastUsed && name < oldest {
			oldest = name
		}
	}
	return totalGB, oldest
}

// dropAbandonedFetches removes the images that were being fetched for tasks that no longer exist.
func (cache imageCache) dropAbandonedFetches(now micros.Timestamp) {
	for name, image := range cache {
		if !image.ready && image.lastUsed != now {
			delete(cache, name)
		}
	}
}

// names returns the names of the ready images and of those being fetched, each sorted.
func (cache imageCache) names() (ready, fetching []string) {
	for _, name := range slices.Sorted(maps.Keys(cache)) {
		if cache[name].ready {
			ready = append(ready, name)
		} else {
			fetching = append(fetching, name)
		}
	}
	return ready, fetching
}

// useImage records that a task of a job uses its image on a machine, or waits for it to be fetched.
func (machine *machineState) useImage(now micros.Timestamp, spec *wire.Job, ready bool) {
	capacityGB := 0.0
	if machine.machineType != nil {
		capacityGB = machine.machineType.CacheGB
	}
	machine.images.use(now, spec, ready, capacityGB)
}
